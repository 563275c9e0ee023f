"""Shared state of one replica's components, and the transitions between its roles."""

import asyncio
import random
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

import structlog

from cicadatray.replication.applier import Applier
from cicadatray.replication.errors import (
    PeerRefusedError,
    ReplicaStoppedError,
    ReplicaTransportError,
)
from cicadatray.replication.log_entry import LogEntry, decode_membership
from cicadatray.replication.member import Member
from cicadatray.replication.membership import MemberRecord, Membership
from cicadatray.replication.membership_history import MembershipHistory
from cicadatray.replication.message import AppendRequest, Refusal, ReplicaMessage, VoteRequest
from cicadatray.replication.replica_settings import ReplicaSettings
from cicadatray.replication.role import Role
from cicadatray.replication.role_lifecycle import RoleLifecycle
from cicadatray.replication.snapshot import Snapshot
from cicadatray.replication.state_machine import ReplicatedStateMachine
from cicadatray.replication.storage import ReplicaStorage
from cicadatray.replication.transport import ReplicaTransport

if TYPE_CHECKING:
    from cicadatray.replication.leadership import Leadership

log = structlog.get_logger(__name__)


class ReplicaCore:
    """Holds the state of one `Replica`; everything runs on one event loop.

    `last_leader_contact_s` is when the last message of a valid leader arrived. It is initialised to
    the start time, because a restarted member no longer knows to which leader it granted a lease.
    """

    __slots__ = (
        "applier",
        "election_deadline_s",
        "failure",
        "history",
        "last_leader_contact_s",
        "leader_id",
        "leadership",
        "lifecycle",
        "loop",
        "random",
        "settings",
        "stopped",
        "storage",
        "tasks",
        "transport",
    )

    def __init__(
        self,
        settings: ReplicaSettings,
        storage: ReplicaStorage,
        state_machine: ReplicatedStateMachine,
        transport: ReplicaTransport,
        random_source: random.Random,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.storage = storage
        self.transport = transport
        self.random = random_source
        self.lifecycle = RoleLifecycle()
        self.history = MembershipHistory(0, storage.state.initial)
        self.applier = Applier(settings, storage, state_machine, self.history)
        self.failure: Exception | None = None
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_leader_contact_s = self.now_s()
        self.election_deadline_s = 0.0
        self.reset_election_deadline()
        self._recover(storage.loaded_snapshot)
        storage.loaded_snapshot = None

    @property
    def role(self) -> Role:
        """The current role of this member."""
        return self.lifecycle.role

    @property
    def term(self) -> int:
        """The current term."""
        return self.storage.state.term

    @property
    def identity(self) -> str:
        """The identity of the data folder."""
        return self.storage.state.identity

    @property
    def membership(self) -> Membership:
        """The membership in effect."""
        return self.history.current

    def now_s(self) -> float:
        """Returns the time on the event loop's clock, in seconds."""
        return self.loop.time()

    def is_voter(self) -> bool:
        """Returns whether this member counts towards quorums."""
        return self.membership.is_voter(self.identity)

    def has_recent_leader(self) -> bool:
        """Returns whether a leader may still hold a lease that depends on this member."""
        if self.role is Role.LEADER:
            return True
        lease_end_s = self.last_leader_contact_s + self.settings.election_timeout_min_s
        return self.now_s() < lease_end_s

    def reset_election_deadline(self) -> None:
        """Restarts the election timeout with a new random duration."""
        settings = self.settings
        timeout_s = self.random.uniform(
            settings.election_timeout_min_s, settings.election_timeout_max_s
        )
        self.election_deadline_s = self.now_s() + timeout_s

    def adopt_term(self, term: int, voted_for: str = "") -> None:
        """Adopts a higher term, which ends any candidacy or leadership.

        A vote in the new term is saved together with the term, because each save takes two syncs.
        """
        if term <= self.term:
            return
        self.storage.state_file.save_vote(term, voted_for)
        self.step_down(None, f"term {term} has started")

    def follow_leader(self, term: int, leader_id: str) -> None:
        """Records that a message of the valid leader of `term` has arrived."""
        self.adopt_term(term)
        self.last_leader_contact_s = self.now_s()
        self.reset_election_deadline()
        if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.step_down(leader_id, "another member is the leader")
        self.leader_id = leader_id

    def step_down(self, leader_id: str | None, reason: str) -> None:
        """Returns this member to the role of a follower or learner."""
        leadership, self.leadership = self.leadership, None
        self.leader_id = leader_id
        if leadership is not None:
            log.info("leadership ended", member=self.settings.member_id, reason=reason)
            leadership.close()
            self.reset_election_deadline()
        if self.role is not Role.STOPPED:
            self.lifecycle.change("follow" if self.is_voter() else "learn")

    def join_group(self, group_id: str, initial: Membership) -> None:
        """Binds this member to a group for the lifetime of its data folder."""
        self.storage.state_file.update(group_id=group_id, pending_group_id="", initial=initial)
        log.info("joined group", member=self.settings.member_id, group=group_id)
        if self.storage.log.last_index == 0:
            self.history.changes = [(0, initial)]
        self.reset_election_deadline()
        self.refresh_role()

    def append(self, entries: list[LogEntry]) -> None:
        """Appends entries to the log and puts the memberships among them into effect."""
        self.storage.log.append(entries)
        for entry in entries:
            if entry.is_membership:
                self.history.append(entry.index, decode_membership(entry.data))
                log.info("membership in effect", index=entry.index, **self._member_names_by_kind())
        self.refresh_role()

    def truncate_after(self, index: int) -> None:
        """Removes the entries after `index`, which conflict with those of a newer leader."""
        self.storage.log.truncate_after(index)
        self.history.truncate_after(index)
        self.refresh_role()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the log and the state with a snapshot from the leader."""
        self.storage.install_snapshot(snapshot)
        self.history.changes = [(snapshot.position.last_index, snapshot.position.membership)]
        self.applier.restore(snapshot)
        self.refresh_role()

    def refresh_role(self) -> None:
        """Switches between learner and follower to match the membership in effect."""
        if self.role is Role.LEARNER and self.is_voter():
            self.lifecycle.change("follow")
        elif self.role is Role.FOLLOWER and not self.is_voter():
            self.lifecycle.change("learn")

    async def call(self, record: MemberRecord, request: ReplicaMessage) -> ReplicaMessage:
        """Sends a request to another member and returns its reply.

        A higher term in the reply is adopted, which ends any candidacy or leadership.

        Raises:
            ReplicaTransportError: no reply arrived.
            PeerRefusedError: the member has another identity or refused the request.
        """
        reply = await self.call_address(record.member, request)
        if isinstance(reply, Refusal):
            raise PeerRefusedError(reply.reason)
        if reply.identity != record.identity:
            raise PeerRefusedError(f"data folder is {reply.identity}, expected {record.identity}")
        self.adopt_term(reply.term)
        return reply

    async def call_address(self, member: Member, request: ReplicaMessage) -> ReplicaMessage:
        """Returns the reply from the member's address, whichever data folder is used there.

        Raises:
            ReplicaTransportError: no reply arrived, or this replica has stopped.
        """
        if self.role is Role.STOPPED:
            raise ReplicaTransportError("the replica has stopped")
        is_heartbeat = isinstance(request, AppendRequest) and not request.records
        is_pre_vote = isinstance(request, VoteRequest) and request.is_pre_vote
        uses_short_timeout = is_heartbeat or is_pre_vote
        settings = self.settings
        timeout_s = settings.call_timeout_s if uses_short_timeout else settings.store_timeout_s
        return await self.transport.call(member, request, timeout_s)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that is cancelled with the replica; its failure stops the replica."""
        task = self.loop.create_task(self._run_guarded(coroutine))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # A task that is cancelled before its first step would leave the coroutine unawaited.
        task.add_done_callback(lambda _: coroutine.close())
        return task

    def fail(self, error: Exception) -> None:
        """Stops the replica after an error, because its memory and disk may no longer agree."""
        if self.role is Role.STOPPED:
            return
        log.error("replica failed", member=self.settings.member_id, error=str(error))
        self.failure = error
        self.shut_down()

    def shut_down(self) -> None:
        """Cancels all tasks and closes the data folder; later messages are refused."""
        if self.role is Role.STOPPED:
            return
        self.step_down(None, "stopped")
        self.lifecycle.change("stop")
        for task in list(self.tasks):
            task.cancel()
        self.storage.folder.close()
        self.stopped.set()

    def require_running(self) -> None:
        """Raises `ReplicaStoppedError` after a stop or a failure."""
        if self.role is Role.STOPPED:
            raise ReplicaStoppedError("the replica has stopped") from self.failure

    async def _run_guarded(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self.fail(error)

    def _recover(self, snapshot: Snapshot | None) -> None:
        if snapshot is not None:
            self.history.changes = [(snapshot.position.last_index, snapshot.position.membership)]
            self.applier.restore(snapshot)
        for entry in self.storage.log.entries:
            if entry.is_membership and entry.index > self.applier.applied_index:
                self.history.append(entry.index, decode_membership(entry.data))
        if self.storage.state.group_id:
            self.refresh_role()
        log.info(
            "replica loaded",
            member=self.settings.member_id,
            identity=self.identity,
            group=self.storage.state.group_id,
            term=self.term,
            last_index=self.storage.log.last_index,
            last_term=self.storage.log.last_term,
            snapshot_index=self.applier.applied_index,
            **self._member_names_by_kind(),
        )

    def _member_names_by_kind(self) -> dict[str, list[str]]:
        """Returns the voters and learners as `name=identity`, the form that log lines use."""
        names_by_kind: dict[str, list[str]] = {"voters": [], "learners": []}
        for record in self.membership.records:
            kind = "voters" if record.voter else "learners"
            names_by_kind[kind].append(f"{record.member.member_id}={record.identity}")
        return names_by_kind
