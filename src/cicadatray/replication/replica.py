"""One member of a replication group."""

import asyncio
import random

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.describe import describe_replica
from cicadatray.replication.description import ReplicaDescription
from cicadatray.replication.elections import Elections
from cicadatray.replication.errors import (
    NotLeaderError,
    ProposalRefusedError,
    ProposalUnknownError,
    ReplicaStoppedError,
)
from cicadatray.replication.formation import Formation
from cicadatray.replication.leadership_transfer import transfer_leadership
from cicadatray.replication.limits import COMMAND_LIMIT_BYTES
from cicadatray.replication.local_data_folder import LocalDataFolder
from cicadatray.replication.member import Member
from cicadatray.replication.membership_changes import MembershipChanges
from cicadatray.replication.membership_reconciler import MembershipReconciler
from cicadatray.replication.message import ReplicaMessage
from cicadatray.replication.message_handler import MessageHandler
from cicadatray.replication.proposal import Proposal
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.role import Role
from cicadatray.replication.state_machine import ReplicatedStateMachine
from cicadatray.replication.storage import ReplicaStorage
from cicadatray.replication.transport import ReplicaTransport
from cicadatray.replication.write_queue import QueuedDataFolder


class Replica:
    """Replicates a state machine together with the other members of the group.

    After a failure of the disk or the state machine the replica stops itself: `failure` holds the
    error, and `wait_stopped` returns.
    """

    __slots__ = (
        "core_or_none",
        "data_folder",
        "handler",
        "membership_reconciler",
        "random",
        "settings",
        "state_machine",
        "stopped",
        "transport",
    )

    def __init__(
        self,
        settings: ReplicaSettings,
        state_machine: ReplicatedStateMachine,
        transport: ReplicaTransport,
        data_folder: DataFolder | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        """Creates a stopped replica.

        `data_folder` and `random_source` replace the local disk and the system's random source in
        tests.
        """
        self.settings = settings
        self.state_machine = state_machine
        self.transport = transport
        self.data_folder = data_folder
        self.random = random_source or random.SystemRandom()
        self.core_or_none: ReplicaCore | None = None
        self.handler: MessageHandler | None = None
        self.membership_reconciler: MembershipReconciler | None = None
        self.stopped = asyncio.Event()

    @property
    def core(self) -> ReplicaCore:
        """The state of the started replica; raises `ReplicaStoppedError` before the start."""
        if self.core_or_none is None:
            raise ReplicaStoppedError("the replica was not started")
        return self.core_or_none

    @property
    def role(self) -> Role:
        """The current role."""
        return self.core.role

    @property
    def term(self) -> int:
        """The current term."""
        return self.core.term

    @property
    def leader_id(self) -> str | None:
        """The name of the leader, or None while it is unknown."""
        return self.core.leader_id

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed."""
        return self.core.applier.commit_index

    @property
    def applied_index(self) -> int:
        """The index of the last entry that the state machine has applied."""
        return self.core.applier.applied_index

    @property
    def failure(self) -> Exception | None:
        """The error that stopped the replica, or None."""
        return self.core.failure

    async def start(self) -> None:
        """Loads the data folder and starts to participate in the group.

        Raises:
            StorageDamagedError: acknowledged data is damaged or missing.
            StorageError: the data folder cannot be used.
        """
        folder: DataFolder
        if self.data_folder is not None:
            folder = self.data_folder
        elif self.settings.writes_in_thread:
            # A slow or full disk must not block the event loop, which handles signals.
            folder = await asyncio.to_thread(self._open_local_folder)
        else:
            folder = LocalDataFolder(self.settings.data_folder)
        try:
            if isinstance(folder, QueuedDataFolder):
                storage = await asyncio.to_thread(self._load, folder)
            else:
                storage = self._load(folder)
            core = ReplicaCore(
                self.settings, storage, self.state_machine, self.transport, self.random
            )
        except BaseException:
            folder.close()
            raise
        core.stopped = self.stopped
        if isinstance(folder, QueuedDataFolder):
            folder.start_thread(core.fail)
        elections = Elections(core)
        formation = Formation(core)
        self.core_or_none = core
        self.handler = MessageHandler(core, elections, formation)
        core.spawn(formation.run())
        core.spawn(elections.run())
        self.membership_reconciler = MembershipReconciler(core, self.settings.group_size)
        if self.settings.group_size:
            core.spawn(self.membership_reconciler.run())

    def _open_local_folder(self) -> QueuedDataFolder:
        return QueuedDataFolder(LocalDataFolder(self.settings.data_folder))

    def _load(self, folder: DataFolder) -> ReplicaStorage:
        return ReplicaStorage(folder, self.settings.segment_bytes, self.random)

    async def stop(self) -> None:
        """Transfers leadership if possible, then stops; callers that still wait get an error."""
        if self.core.leadership is not None:
            await transfer_leadership(self.core, self.settings.election_timeout_min_s)
        self.abort()
        await asyncio.gather(*self.core.tasks, return_exceptions=True)

    def abort(self) -> None:
        """Stops without a leadership transfer."""
        self.core.shut_down()

    async def wait_stopped(self) -> None:
        """Returns once the replica has stopped, by `stop` or by a failure."""
        await self.stopped.wait()

    async def transfer_leadership(self) -> bool:
        """Transfers leadership to another voter; returns whether this leadership has ended."""
        return await transfer_leadership(self.core, self.settings.election_timeout_max_s)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Proposes a command and returns its result once it is committed and applied here.

        Raises:
            NotLeaderError: nothing was appended.
            ProposalRefusedError: the command or the backlog is too large; nothing was appended.
            ProposalUnknownError: the command may still be committed.
            ReplicaStoppedError: the replica was not started or has stopped.
        """
        self.core.require_running()
        leadership = self.core.leadership
        if leadership is None or leadership.is_transferring or not leadership.has_quorum_contact():
            raise NotLeaderError(None if leadership else self.core.leader_id)
        if len(command) > COMMAND_LIMIT_BYTES:
            raise ProposalRefusedError(
                f"command has {len(command)} bytes, limit is {COMMAND_LIMIT_BYTES} bytes"
            )
        if leadership.pending_bytes + len(command) > self.settings.pending_limit_bytes:
            raise ProposalRefusedError("too many commands are in progress")
        proposal = Proposal(command, is_membership=False)
        leadership.enqueue(proposal)
        try:
            async with asyncio.timeout(timeout_s):
                return await proposal.result
        except TimeoutError as error:
            if proposal.index == 0:
                raise NotLeaderError(self.core.leader_id, "not appended in time") from error
            raise ProposalUnknownError("not committed in time") from error

    async def confirm_leadership(self, timeout_s: float) -> None:
        """Returns once this member is confirmed as the leader, so that its state can be read.

        A read of the state machine is linearizable if the caller makes it before it awaits anything
        else.

        Raises:
            NotLeaderError: this member is not the leader, or was not confirmed in time.
            ReplicaStoppedError: the replica was not started or has stopped.
        """
        self.core.require_running()
        leadership = self.core.leadership
        if leadership is None:
            raise NotLeaderError(self.core.leader_id)
        try:
            async with asyncio.timeout(timeout_s):
                await leadership.confirm()
        except TimeoutError as error:
            raise NotLeaderError(None, "leadership not confirmed in time") from error

    def members(self) -> tuple[Member, ...]:
        """Returns all voters and learners."""
        return tuple(record.member for record in self.core.membership.records)

    def find_member(self, member_id: str) -> Member | None:
        """Returns the voter or learner with this name, or None."""
        record = self.core.membership.find(member_id)
        return record.member if record else None

    def needs_to_join(self, timeout_s: float) -> bool:
        """Returns whether this member has no group, or no leader has called it for `timeout_s`.

        The leader itself never needs to join.
        """
        core = self.core
        if core.leadership is not None:
            return False
        has_no_group = not core.storage.state.group_id
        return has_no_group or core.now_s() - core.last_leader_contact_s >= timeout_s

    def request_join(self, member: Member) -> None:
        """Queues a request to add a member as a learner, which may be promoted later.

        Raises:
            NotLeaderError: this member is not the leader, or only an operator changes members.
            ReplicaStoppedError: the replica was not started or has stopped.
        """
        self.core.require_running()
        if self.core.leadership is None:
            raise NotLeaderError(self.core.leader_id)
        if self.membership_reconciler is None or not self.settings.group_size:
            raise NotLeaderError(None, "only an operator changes the membership")
        self.membership_reconciler.request_join(member)

    async def add_learner(self, member: Member) -> None:
        """Adds a learner, or a member's new data folder; see `MembershipChanges.add_learner`."""
        await MembershipChanges(self.core).add_learner(member)

    async def promote(self, member_id: str) -> None:
        """Promotes a learner to a voter; see `MembershipChanges.promote`."""
        await MembershipChanges(self.core).promote(member_id)

    async def remove(self, member_id: str) -> None:
        """Removes a member; see `MembershipChanges.remove`."""
        await MembershipChanges(self.core).remove(member_id)

    async def handle(self, message: ReplicaMessage) -> ReplicaMessage:
        """Returns the reply to a message of another member; after a stop this is a `Refusal`.

        Raises:
            ReplicaStoppedError: the replica was not started, has stopped before the reply was
                durable, or failed on this message.
        """
        if self.handler is None:
            raise ReplicaStoppedError("the replica was not started")
        if self.core.role is Role.STOPPED:
            # A refusal promises nothing that has to be durable.
            return self.handler.handle(message)
        try:
            reply = self.handler.handle(message)
            # A vote, a term or entries must be durable before another member may rely on them.
            await self.core.storage.flush()
            return reply
        except ReplicaStoppedError:
            raise
        except Exception as error:
            self.core.fail(error)
            raise ReplicaStoppedError("the replica failed") from error

    def describe(self) -> ReplicaDescription:
        """Returns a description of the current state for dumps."""
        return describe_replica(self.core)
