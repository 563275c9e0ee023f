"""Sends the log to one other member."""

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
    """One task with one message in flight, which is also the heartbeat.

    `acked_sent_s` is when the latest answered message was sent, not when the answer came: only
    from that moment on is the peer known to have followed this leader. `offered_index` is what was
    committed then.
    """

    __slots__ = (
        "acked_sent_s",
        "core",
        "leadership",
        "match_index",
        "next_index",
        "offered_index",
        "offset",
        "record",
        "refusal",
        "snapshot",
        "task",
        "wake",
    )

    def __init__(self, leadership: "Leadership", record: MemberRecord) -> None:
        self.leadership = leadership
        self.core = leadership.core
        self.record = record
        self.acked_sent_s = -math.inf
        self.match_index = 0
        self.offered_index = 0
        self.next_index = leadership.first_index
        self.refusal = ""
        self.snapshot: Snapshot | None = None
        self.offset = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to send."""
        self.task = self.core.spawn(self._run())

    def stop(self) -> None:
        """Ends the task."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while not self.leadership.is_closed:
            sent_s = self.core.now_s()
            try:
                has_more = await self._exchange(sent_s)
            except (ReplicaTransportError, PeerRefusedError) as error:
                self._note_refusal(str(error))
                if isinstance(error, PeerRefusedError):
                    self.snapshot = None
                await asyncio.sleep(sent_s + self.core.settings.heartbeat_s - self.core.now_s())
                continue
            self._note_refusal("")
            if not has_more:
                await self._wait_until(sent_s + self.core.settings.heartbeat_s)

    def silence_s(self) -> float:
        """Returns the age of the last answered message, at most that of the leadership."""
        heard_s = max(self.acked_sent_s, self.leadership.started_s)
        return round(self.core.now_s() - heard_s, 3)

    def _note_refusal(self, reason: str) -> None:
        """Keeps why the last message was not answered, and logs a change between the two states."""
        if bool(reason) != bool(self.refusal):
            log.info(
                "member unreachable" if reason else "member reached again",
                member=self.record.member.member_id,
                reason=reason or self.refusal,
                match_index=self.match_index,
                silence_s=self.silence_s(),
            )
        self.refusal = reason

    async def _wait_until(self, deadline_s: float) -> None:
        try:
            async with asyncio.timeout_at(deadline_s):
                await self.wake.wait()
        except TimeoutError:
            pass

    async def _exchange(self, sent_s: float) -> bool:
        """Sends one message and returns whether there is more to send at once."""
        self.wake.clear()
        if self.snapshot is None and self.next_index <= self.core.storage.log.base_index:
            self.snapshot = self.core.storage.snapshots.read()
            self.offset = 0
        if self.snapshot is not None:
            return await self._send_chunk(sent_s, self.snapshot)
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
        self.acked_sent_s = sent_s
        if reply.is_accepted:
            self.match_index = max(self.match_index, reply.match_index)
            self.next_index = self.match_index + 1
            self.offered_index = request.commit_index
        else:
            self._go_back(reply.match_index)
        self.leadership.peer_acknowledged()
        return self.next_index <= self._last_index_to_send()

    def has_caught_up(self) -> bool:
        """Returns whether the peer had all that was committed when it was last called.

        Compared with what is committed now it would lag as long as commands keep coming.
        """
        return 0 < self.offered_index <= self.match_index

    def _last_index_to_send(self) -> int:
        """Returns the last entry that the peer may get.

        A learner gets committed entries only. Ahead of all voters that are left it would refuse its
        vote to each of them, and a group that has promoted it may need that vote.
        """
        last_index = self.core.storage.log.last_index
        return last_index if self.record.voter else min(last_index, self.core.applier.commit_index)

    def _go_back(self, hint_index: int) -> None:
        lower_index = min(self.next_index - 1, hint_index + 1)
        if lower_index <= self.match_index:
            raise PeerRefusedError(f"entry {self.match_index} was acknowledged but is missing")
        self.next_index = lower_index

    async def _send_chunk(self, sent_s: float, snapshot: Snapshot) -> bool:
        chunk_end = self.offset + self.core.settings.snapshot_chunk_bytes
        request = SnapshotRequest(
            identity=self.core.identity,
            term=self.leadership.term,
            group_id=self.core.storage.state.group_id,
            sender_id=self.core.settings.member_id,
            target_identity=self.record.identity,
            position=snapshot.position,
            offset=self.offset,
            chunk=snapshot.data[self.offset : chunk_end],
        )
        reply = await self.core.call(self.record, request)
        if self.leadership.is_closed or not isinstance(reply, SnapshotReply):
            return False
        self.acked_sent_s = sent_s
        self.offset = reply.next_offset
        if reply.is_installed:
            self.match_index = max(self.match_index, snapshot.position.last_index)
            self.next_index = self.match_index + 1
            self.snapshot = None
        self.leadership.peer_acknowledged()
        return True
