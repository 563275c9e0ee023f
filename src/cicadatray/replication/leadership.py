"""One term of leading the group."""

import asyncio
import math

import structlog

from cicadatray.replication.core import ReplicaCore
from cicadatray.replication.errors import NotLeaderError, ProposalUnknownError
from cicadatray.replication.limits import CLOCK_DRIFT_MARGIN
from cicadatray.replication.log_entry import LogEntry, encode_membership
from cicadatray.replication.peer_replicator import PeerReplicator
from cicadatray.replication.proposal import Proposal
from cicadatray.replication.redundancy_watch import watch_redundancy

QUORUM_CHECKS = 2
# Longest wait for the disk before the next batch of commands is sent to the other members.
GATHER_LIMIT_S = 0.03
# A commit usually takes one round trip and two syncs, about 0.03 s; slower ones are logged.
SLOW_COMMIT_S = 0.1

log = structlog.get_logger(__name__)


class Leadership:
    """Begins with winning an election and ends for good with `close`.

    `held_bytes` is the size of all commands that are not yet committed.

    `lease_usable` ends with the first request to another member to take over: that member may
    campaign at any later time, without regard to the lease.
    """

    __slots__ = (
        "appended",
        "core",
        "durable_index",
        "first_index",
        "held_bytes",
        "is_closed",
        "is_handing_over",
        "lease_usable",
        "peers",
        "queue",
        "queued",
        "read_waiters",
        "started_s",
        "tasks",
        "term",
    )

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core
        self.term = core.term
        self.started_s = core.now_s()
        self.first_index = core.storage.log.last_index + 1
        self.durable_index = core.storage.log.last_index
        self.is_closed = False
        self.is_handing_over = False
        self.lease_usable = True
        self.peers: dict[str, PeerReplicator] = {}
        self.queue: list[Proposal] = []
        self.queued = asyncio.Event()
        self.held_bytes = 0
        self.appended: dict[int, Proposal] = {}
        self.read_waiters: list[tuple[float, asyncio.Future[None]]] = []
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Appends the first entry of the term, which restates the membership, and replicates it.

        The entry serves as the no-op that commits entries of earlier terms.
        """
        self.enqueue(Proposal(encode_membership(self.core.membership), is_membership=True))
        self._append_queued()
        self.tasks.append(self.core.spawn(self._append_proposals()))
        self.tasks.append(self.core.spawn(self._watch_quorum()))
        self.tasks.append(self.core.spawn(watch_redundancy(self)))

    def close(self) -> None:
        """Ends the tasks and tells every waiting caller what is known about its command."""
        self.is_closed = True
        for task in self.tasks:
            task.cancel()
        for peer in self.peers.values():
            peer.stop()
        for proposal in self.appended.values():
            self.core.applier.waiting.pop(proposal.index, None)
            proposal.fail(ProposalUnknownError("the leader changed before the command committed"))
        for proposal in self.queue:
            proposal.fail(NotLeaderError(self.core.leader_id))
        for _, waiter in self.read_waiters:
            if not waiter.done():
                waiter.set_exception(NotLeaderError(self.core.leader_id))

    def enqueue(self, proposal: Proposal) -> None:
        """Puts a command into the next batch."""
        self.queue.append(proposal)
        self.held_bytes += len(proposal.data)
        self.queued.set()

    def has_quorum_contact(self) -> bool:
        """Returns whether a majority answered within the election timeout."""
        return self.core.now_s() < self._contact_s() + self.core.settings.election_timeout_min_s

    def is_ready(self) -> bool:
        """Returns whether the state contains everything committed in earlier terms."""
        return self.core.applier.applied_index >= self.first_index

    def confirmed_s(self) -> float:
        """Returns the latest time at which a majority is known to have followed this leader."""
        return self._quorum_value([peer.acked_sent_s for peer in self._voting_peers()], math.inf)

    def holds_lease(self) -> bool:
        """Returns whether no other member can have won an election yet."""
        if not self.lease_usable or self.is_handing_over:
            return False
        lease_s = self.core.settings.election_timeout_min_s * (1 - CLOCK_DRIFT_MARGIN)
        return self.core.now_s() < self.confirmed_s() + lease_s

    def peer_acknowledged(self) -> None:
        """Draws the consequences of a reply: commits entries and releases readers."""
        self._commit()
        confirmed_s = self.confirmed_s()
        if not self.is_ready():
            return
        for started_s, waiter in self.read_waiters:
            if started_s <= confirmed_s and not waiter.done():
                waiter.set_result(None)
        self.read_waiters = [entry for entry in self.read_waiters if not entry[1].done()]

    async def confirm(self) -> None:
        """Returns once the state may be read as the latest; cancelled by the caller's timeout.

        Raises:
            NotLeaderError: leadership ended.
        """
        if self.is_ready() and self.holds_lease():
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.read_waiters.append((self.core.now_s(), waiter))
        self.wake_peers()
        self.peer_acknowledged()
        await waiter

    def wake_peers(self) -> None:
        """Lets each peer's task send its next message at once."""
        for peer in self.peers.values():
            peer.wake.set()

    def _wake_learners(self) -> None:
        """Lets learners have what has just been committed."""
        for peer in self.peers.values():
            if not peer.record.voter:
                peer.wake.set()

    def _voting_peers(self) -> list[PeerReplicator]:
        return [peer for peer in self.peers.values() if peer.record.voter]

    def _quorum_value(self, peer_values: list[float], own_value: float) -> float:
        """Returns the highest value that a majority of voters has reached."""
        values = peer_values + ([own_value] if self.core.is_voter() else [])
        values.sort(reverse=True)
        return values[self.core.membership.quorum() - 1]

    def _contact_s(self) -> float:
        contacts = [max(peer.acked_sent_s, self.started_s) for peer in self._voting_peers()]
        return self._quorum_value(contacts, math.inf)

    def _commit(self) -> None:
        matches = [float(peer.match_index) for peer in self._voting_peers()]
        index = int(self._quorum_value(matches, self.durable_index))
        applier = self.core.applier
        # An entry of an earlier term commits only together with one of this term (Raft 5.4.2).
        if index <= applier.commit_index or index < self.first_index:
            return
        first_index = applier.commit_index + 1
        applier.advance(index)
        self._wake_learners()
        slowest_s = 0.0
        for committed in range(first_index, index + 1):
            proposal = self.appended.pop(committed, None)
            if proposal is not None:
                self.held_bytes -= len(proposal.data)
                slowest_s = max(slowest_s, self.core.now_s() - proposal.created_s)
        if slowest_s > SLOW_COMMIT_S:
            self._log_slow_commit(index, slowest_s)

    def _log_slow_commit(self, index: int, slowest_s: float) -> None:
        log.info(
            "commit slow",
            index=index,
            took_s=round(slowest_s, 3),
            own_durable=self.durable_index,
            peers={
                peer.record.member.member_id: {
                    "match_index": peer.match_index,
                    "silence_s": peer.silence_s(),
                    "refusal": peer.refusal,
                }
                for peer in self.peers.values()
            },
        )

    async def _append_proposals(self) -> None:
        while True:
            await self.queued.wait()
            await self._wait_for_disk()
            self._append_queued()

    async def _wait_for_disk(self) -> None:
        """Lets commands gather while a sync is in progress; a stalled disk does not stop them.

        The other members can commit without this one's disk.
        """
        try:
            async with asyncio.timeout(GATHER_LIMIT_S):
                await self.core.storage.flush()
        except TimeoutError:
            pass

    def _entries_durable(self, index: int) -> None:
        self.durable_index = index
        if not self.is_closed:
            self.peer_acknowledged()

    def _append_queued(self) -> None:
        """Writes all queued commands with one sync, while the other members receive them."""
        self.queued.clear()
        withdrawn = [proposal for proposal in self.queue if proposal.result.done()]
        self.held_bytes -= sum(len(proposal.data) for proposal in withdrawn)
        batch = [proposal for proposal in self.queue if not proposal.result.done()]
        self.queue = []
        if not batch:
            return
        index = self.core.storage.log.last_index
        entries = []
        for proposal in batch:
            index += 1
            proposal.index = index
            self.appended[index] = proposal
            self.core.applier.waiting[index] = proposal.result
            entries.append(LogEntry(index, self.term, proposal.is_membership, proposal.data))
        self.core.append(entries)
        if any(proposal.is_membership for proposal in batch):
            self._update_peers()
        self.wake_peers()
        self.core.storage.when_durable(lambda: self._entries_durable(index))

    def _update_peers(self) -> None:
        """Starts and ends peer tasks after a change of the membership in effect."""
        records = {record.identity: record for record in self.core.membership.records}
        records.pop(self.core.identity, None)
        for identity in list(self.peers):
            if identity not in records:
                self.peers.pop(identity).stop()
        for identity, record in records.items():
            peer = self.peers.get(identity)
            if peer is None:
                self.peers[identity] = peer = PeerReplicator(self, record)
                peer.start()
            peer.record = record

    async def _watch_quorum(self) -> None:
        """Steps down when a majority has not answered for the election timeout.

        Looks twice: after a slow sync this task runs before replies that have already arrived.
        """
        failed_checks = 0
        while failed_checks < QUORUM_CHECKS:
            await asyncio.sleep(self.core.settings.heartbeat_s / 2)
            failed_checks = 0 if self.has_quorum_contact() else failed_checks + 1
        self.core.step_down(None, "no contact with a majority")
