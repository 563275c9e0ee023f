"""Replicates the leader's log to one other member."""

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

from cicadatray.replication.errors import PeerRefusedError, ReplicaTransportError
from cicadatray.replication.log_entry import encode_entries
from cicadatray.replication.membership import MemberRecord
from cicadatray.replication.message import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
)
from cicadatray.replication.snapshot import Snapshot

if TYPE_CHECKING:
    from cicadatray.replication.leadership import Leadership

log = structlog.get_logger(__name__)


class PeerReplicator:
    """Runs one task that keeps at most one message in flight; messages also serve as heartbeats.

    `last_acked_send_s` is the send time of the latest message that was answered, not the time of
    the reply: the peer is only known to have followed this leader since the message was sent.
    `offered_commit_index` is the commit index in the latest append request that was accepted.
    """

    __slots__ = (
        "core",
        "last_acked_send_s",
        "last_error",
        "leadership",
        "match_index",
        "next_index",
        "offered_commit_index",
        "record",
        "snapshot",
        "snapshot_offset",
        "task",
        "wake",
    )

    def __init__(self, leadership: "Leadership", record: MemberRecord) -> None:
        self.leadership = leadership
        self.core = leadership.core
        self.record = record
        self.last_acked_send_s = -math.inf
        self.match_index = 0
        self.offered_commit_index = 0
        self.next_index = leadership.term_start_index
        self.last_error = ""
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the replication task."""
        self.task = self.core.spawn(self._run())

    def stop(self) -> None:
        """Cancels the replication task."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while not self.leadership.is_closed:
            sent_s = self.core.now_s()
            try:
                has_more = await self._send_next_message(sent_s)
            except (ReplicaTransportError, PeerRefusedError) as error:
                self._record_call_failure(str(error))
                if isinstance(error, PeerRefusedError):
                    self.snapshot = None
                await asyncio.sleep(sent_s + self.core.settings.heartbeat_s - self.core.now_s())
                continue
            self._record_call_failure("")
            if not has_more:
                await self._wait_for_wake(sent_s + self.core.settings.heartbeat_s)

    def contact_age_s(self) -> float:
        """Returns the seconds since the last answered message was sent, rounded to milliseconds.

        Without an answered message, the time counts from the start of the leadership.
        """
        last_contact_s = max(self.last_acked_send_s, self.leadership.started_s)
        return round(self.core.now_s() - last_contact_s, 3)

    def _record_call_failure(self, reason: str) -> None:
        """Stores why the last call failed, or an empty text; logs when reachability changes."""
        if bool(reason) != bool(self.last_error):
            log.info(
                "member unreachable" if reason else "member reachable again",
                member=self.record.member.member_id,
                reason=reason or self.last_error,
                match_index=self.match_index,
                silence_s=self.contact_age_s(),
            )
        self.last_error = reason

    async def _wait_for_wake(self, deadline_s: float) -> None:
        try:
            async with asyncio.timeout_at(deadline_s):
                await self.wake.wait()
        except TimeoutError:
            pass

    async def _send_next_message(self, sent_s: float) -> bool:
        """Sends one message and returns whether another one is due immediately."""
        self.wake.clear()
        if self.snapshot is None and self.next_index <= self.core.storage.log.base_index:
            self.snapshot = self.core.storage.snapshots.read()
            self.snapshot_offset = 0
        if self.snapshot is not None:
            return await self._send_snapshot_chunk(sent_s, self.snapshot)
        return await self._send_entries(sent_s)

    async def _send_entries(self, sent_s: float) -> bool:
        log = self.core.storage.log
        last_index = self._last_index_to_send()
        batch = log.batch(self.next_index, last_index, self.core.settings.append_batch_bytes)
        request = AppendRequest(
            identity=self.core.identity,
            term=self.leadership.term,
            group_id=self.core.storage.state.group_id,
            sender_id=self.core.settings.member_id,
            target_identity=self.record.identity,
            prev_index=self.next_index - 1,
            prev_term=log.term_at(self.next_index - 1),
            commit_index=self.core.applier.commit_index,
            records=encode_entries(batch),
        )
        reply = await self.core.call(self.record, request)
        if self.leadership.is_closed or not isinstance(reply, AppendReply):
            return False
        self.last_acked_send_s = sent_s
        if reply.is_accepted:
            self.match_index = max(self.match_index, reply.match_index)
            self.next_index = self.match_index + 1
            self.offered_commit_index = request.commit_index
        else:
            self._lower_next_index(reply.match_index)
        self.leadership.process_acknowledgement()
        return self.next_index <= self._last_index_to_send()

    def has_caught_up(self) -> bool:
        """Returns whether the peer holds every entry committed at its last accepted append request.

        Compared with the current commit index, a peer would always lag under a steady load.
        """
        return 0 < self.offered_commit_index <= self.match_index

    def _last_index_to_send(self) -> int:
        """Returns the index of the last entry that may be sent to the peer.

        A learner receives only committed entries. A learner whose log is ahead of all remaining
        voters would deny each of them its vote, and a group that promotes it may need that vote.
        """
        last_index = self.core.storage.log.last_index
        return last_index if self.record.voter else min(last_index, self.core.applier.commit_index)

    def _lower_next_index(self, hint_index: int) -> None:
        lower_index = min(self.next_index - 1, hint_index + 1)
        if lower_index <= self.match_index:
            raise PeerRefusedError(f"entry {self.match_index} was acknowledged but is missing")
        self.next_index = lower_index

    async def _send_snapshot_chunk(self, sent_s: float, snapshot: Snapshot) -> bool:
        chunk_end = self.snapshot_offset + self.core.settings.snapshot_chunk_bytes
        request = SnapshotRequest(
            identity=self.core.identity,
            term=self.leadership.term,
            group_id=self.core.storage.state.group_id,
            sender_id=self.core.settings.member_id,
            target_identity=self.record.identity,
            position=snapshot.position,
            offset=self.snapshot_offset,
            chunk=snapshot.data[self.snapshot_offset : chunk_end],
        )
        reply = await self.core.call(self.record, request)
        if self.leadership.is_closed or not isinstance(reply, SnapshotReply):
            return False
        self.last_acked_send_s = sent_s
        self.snapshot_offset = reply.next_offset
        if reply.is_installed:
            self.match_index = max(self.match_index, snapshot.position.last_index)
            self.next_index = self.match_index + 1
            self.snapshot = None
        self.leadership.process_acknowledgement()
        return True
