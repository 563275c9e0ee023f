"""The leader's state and tasks during one term."""

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

FAILED_CHECKS_LIMIT = 2
# Longest wait for a flush before the next batch of commands is sent to the other members.
FLUSH_WAIT_LIMIT_S = 0.03
# A commit usually takes one round trip and two syncs, about 0.03 s; slower ones are logged.
SLOW_COMMIT_S = 0.1

log = structlog.get_logger(__name__)


class Leadership:
    """Replicates and commits proposals from the election of this leader until `close`.

    `pending_bytes` is the size of all commands that are not yet committed.

    `is_lease_usable` becomes False with the first request to another member to campaign: that
    member may campaign at any later time, regardless of the lease.

    `term_start_index` is the index of the first entry of this term.
    """

    __slots__ = (
        "appended_proposals",
        "core",
        "durable_index",
        "is_closed",
        "is_lease_usable",
        "is_transferring",
        "peers",
        "pending_bytes",
        "queue",
        "queue_not_empty",
        "read_waiters",
        "started_s",
        "tasks",
        "term",
        "term_start_index",
    )

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core
        self.term = core.term
        self.started_s = core.now_s()
        self.term_start_index = core.storage.log.last_index + 1
        self.durable_index = core.storage.log.last_index
        self.is_closed = False
        self.is_transferring = False
        self.is_lease_usable = True
        self.peers: dict[str, PeerReplicator] = {}
        self.queue: list[Proposal] = []
        self.queue_not_empty = asyncio.Event()
        self.pending_bytes = 0
        self.appended_proposals: dict[int, Proposal] = {}
        self.read_waiters: list[tuple[float, asyncio.Future[None]]] = []
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Appends the first entry of the term and starts the leader's tasks.

        The entry repeats the membership. It serves as the no-op that commits entries of earlier
        terms.
        """
        self.enqueue(Proposal(encode_membership(self.core.membership), is_membership=True))
        self._append_queued_proposals()
        self.tasks.append(self.core.spawn(self._append_proposals()))
        self.tasks.append(self.core.spawn(self._check_quorum()))
        self.tasks.append(self.core.spawn(watch_redundancy(self)))

    def close(self) -> None:
        """Cancels the tasks and fails every waiting caller with the outcome of its command."""
        self.is_closed = True
        for task in self.tasks:
            task.cancel()
        for peer in self.peers.values():
            peer.stop()
        for proposal in self.appended_proposals.values():
            self.core.applier.pending_results.pop(proposal.index, None)
            proposal.fail(ProposalUnknownError("leadership ended before the command committed"))
        for proposal in self.queue:
            proposal.fail(NotLeaderError(self.core.leader_id))
        for _, waiter in self.read_waiters:
            if not waiter.done():
                waiter.set_exception(NotLeaderError(self.core.leader_id))

    def enqueue(self, proposal: Proposal) -> None:
        """Adds a proposal to the next batch."""
        self.queue.append(proposal)
        self.pending_bytes += len(proposal.data)
        self.queue_not_empty.set()

    def has_quorum_contact(self) -> bool:
        """Returns whether a majority has answered within the minimum election timeout."""
        return (
            self.core.now_s() < self._quorum_contact_s() + self.core.settings.election_timeout_min_s
        )

    def is_ready(self) -> bool:
        """Returns whether the state machine has applied all entries committed in earlier terms."""
        return self.core.applier.applied_index >= self.term_start_index

    def quorum_confirmed_s(self) -> float:
        """Returns the latest time up to which a majority is known to have followed this leader."""
        return self._quorum_value(
            [peer.last_acked_send_s for peer in self._voting_peers()], math.inf
        )

    def holds_lease(self) -> bool:
        """Returns whether the lease is valid, so that no other member can have been elected."""
        if not self.is_lease_usable or self.is_transferring:
            return False
        lease_s = self.core.settings.election_timeout_min_s * (1 - CLOCK_DRIFT_MARGIN)
        return self.core.now_s() < self.quorum_confirmed_s() + lease_s

    def process_acknowledgement(self) -> None:
        """Commits entries and completes reads after a peer or the local disk has acknowledged."""
        self._commit()
        quorum_confirmed_s = self.quorum_confirmed_s()
        if not self.is_ready():
            return
        for started_s, waiter in self.read_waiters:
            if started_s <= quorum_confirmed_s and not waiter.done():
                waiter.set_result(None)
        self.read_waiters = [entry for entry in self.read_waiters if not entry[1].done()]

    async def confirm(self) -> None:
        """Returns once a read of the state machine is linearizable, by the lease or by a quorum.

        The caller limits the wait by cancelling the call.

        Raises:
            NotLeaderError: leadership ended.
        """
        if self.is_ready() and self.holds_lease():
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.read_waiters.append((self.core.now_s(), waiter))
        self.wake_peers()
        self.process_acknowledgement()
        await waiter

    def wake_peers(self) -> None:
        """Makes each peer's task send its next message immediately."""
        for peer in self.peers.values():
            peer.wake.set()

    def _wake_learners(self) -> None:
        """Makes the learners' tasks send newly committed entries immediately."""
        for peer in self.peers.values():
            if not peer.record.voter:
                peer.wake.set()

    def _voting_peers(self) -> list[PeerReplicator]:
        return [peer for peer in self.peers.values() if peer.record.voter]

    def _quorum_value(self, peer_values: list[float], own_value: float) -> float:
        """Returns the highest value that a majority of the voters has reached."""
        values = peer_values + ([own_value] if self.core.is_voter() else [])
        values.sort(reverse=True)
        return values[self.core.membership.quorum() - 1]

    def _quorum_contact_s(self) -> float:
        contacts = [max(peer.last_acked_send_s, self.started_s) for peer in self._voting_peers()]
        return self._quorum_value(contacts, math.inf)

    def _commit(self) -> None:
        matches = [float(peer.match_index) for peer in self._voting_peers()]
        index = int(self._quorum_value(matches, self.durable_index))
        applier = self.core.applier
        # An entry of an earlier term is committed only together with one of this term (Raft 5.4.2).
        if index <= applier.commit_index or index < self.term_start_index:
            return
        first_index = applier.commit_index + 1
        applier.advance(index)
        self._wake_learners()
        longest_wait_s = 0.0
        for committed in range(first_index, index + 1):
            proposal = self.appended_proposals.pop(committed, None)
            if proposal is not None:
                self.pending_bytes -= len(proposal.data)
                longest_wait_s = max(longest_wait_s, self.core.now_s() - proposal.created_s)
        if longest_wait_s > SLOW_COMMIT_S:
            self._log_slow_commit(index, longest_wait_s)

    def _log_slow_commit(self, index: int, longest_wait_s: float) -> None:
        log.info(
            "slow commit",
            index=index,
            took_s=round(longest_wait_s, 3),
            own_durable=self.durable_index,
            peers={
                peer.record.member.member_id: {
                    "match_index": peer.match_index,
                    "silence_s": peer.contact_age_s(),
                    "refusal": peer.last_error,
                }
                for peer in self.peers.values()
            },
        )

    async def _append_proposals(self) -> None:
        while True:
            await self.queue_not_empty.wait()
            await self._wait_for_flush()
            self._append_queued_proposals()

    async def _wait_for_flush(self) -> None:
        """Waits for the flush in progress, so that commands are batched meanwhile.

        The wait is limited, because the other members can commit without this member's disk.
        """
        try:
            async with asyncio.timeout(FLUSH_WAIT_LIMIT_S):
                await self.core.storage.flush()
        except TimeoutError:
            pass

    def _on_entries_durable(self, index: int) -> None:
        self.durable_index = index
        if not self.is_closed:
            self.process_acknowledgement()

    def _append_queued_proposals(self) -> None:
        """Writes all queued proposals with one sync while they are sent to the other members."""
        self.queue_not_empty.clear()
        cancelled_proposals = [proposal for proposal in self.queue if proposal.result.done()]
        self.pending_bytes -= sum(len(proposal.data) for proposal in cancelled_proposals)
        batch = [proposal for proposal in self.queue if not proposal.result.done()]
        self.queue = []
        if not batch:
            return
        index = self.core.storage.log.last_index
        entries = []
        for proposal in batch:
            index += 1
            proposal.index = index
            self.appended_proposals[index] = proposal
            self.core.applier.pending_results[index] = proposal.result
            entries.append(LogEntry(index, self.term, proposal.is_membership, proposal.data))
        self.core.append(entries)
        if any(proposal.is_membership for proposal in batch):
            self._update_peers()
        self.wake_peers()
        self.core.storage.call_when_durable(lambda: self._on_entries_durable(index))

    def _update_peers(self) -> None:
        """Starts and stops peer tasks after a change of the membership in effect."""
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

    async def _check_quorum(self) -> None:
        """Steps down when no majority has answered for the minimum election timeout.

        Checks twice, because after a slow sync this task runs before the handlers of replies that
        have already arrived.
        """
        failed_checks = 0
        while failed_checks < FAILED_CHECKS_LIMIT:
            await asyncio.sleep(self.core.settings.heartbeat_s / 2)
            failed_checks = 0 if self.has_quorum_contact() else failed_checks + 1
        self.core.step_down(None, "no contact with a majority")
