"""What the agent remembers of attempts, so that each runs at most once."""

from collections import OrderedDict

from cicadatray.internal.agent.attempt_entry import AttemptEntry, AttemptPhase

ENTRY_LIMIT = 20_000
ENTRY_OVERHEAD_BYTES = 500


class AttemptLedger:
    """Bounded by count, bytes and time.

    Claims of non-idempotent requests carry rising log indexes. When an entry is dropped, every
    claim up to its index counts as forgotten, so that a late repetition never runs a second time.
    """

    __slots__ = ("entries", "forgotten_index", "held_bytes", "limit_bytes", "retention_s")

    def __init__(self, limit_bytes: int, retention_s: float) -> None:
        self.entries: OrderedDict[str, AttemptEntry] = OrderedDict()
        self.forgotten_index = 0
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self.retention_s = retention_s

    def find(self, attempt_id: str) -> AttemptEntry | None:
        """Returns the entry of an attempt that was seen before."""
        return self.entries.get(attempt_id)

    def is_forgotten(self, claim_index: int) -> bool:
        """Tells whether an unseen claim may have been dropped, so that its outcome is unknown."""
        return 0 < claim_index <= self.forgotten_index

    def add(self, attempt_id: str, claim_index: int) -> AttemptEntry:
        """Records a new attempt."""
        entry = AttemptEntry(claim_index)
        self.entries[attempt_id] = entry
        return entry

    def end(self, attempt_id: str, entry: AttemptEntry, size_bytes: int, now_s: float) -> None:
        """Records that an attempt has its final reply, and drops what exceeds the limits."""
        if entry.phase is not AttemptPhase.REFUSED:
            entry.phase = AttemptPhase.ENDED
            if entry.claim_index == 0:
                # Nobody asks again for an idempotent attempt: a resend makes a new one.
                self.entries.pop(attempt_id, None)
                return
        entry.ended_s = now_s
        entry.size_bytes = size_bytes + ENTRY_OVERHEAD_BYTES
        self.held_bytes += entry.size_bytes
        if attempt_id in self.entries:
            self.entries.move_to_end(attempt_id)
        self._trim(now_s)

    def unfinished(self) -> list[AttemptEntry]:
        """Returns the attempts that have no final reply yet."""
        return [entry for entry in self.entries.values() if not entry.reply.done()]

    def _trim(self, now_s: float) -> None:
        for attempt_id, entry in list(self.entries.items()):
            if not entry.reply.done():
                continue
            within_limits = self.held_bytes <= self.limit_bytes and len(self.entries) <= ENTRY_LIMIT
            if within_limits and now_s - entry.ended_s <= self.retention_s:
                return
            del self.entries[attempt_id]
            self.held_bytes -= entry.size_bytes
            self.forgotten_index = max(self.forgotten_index, entry.claim_index)
