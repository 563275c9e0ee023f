"""The record of attempts that ensures that each runs at most once."""

from collections import OrderedDict

from cicadatray.internal.agent.attempt_entry import AttemptEntry, AttemptPhase

MAX_ENDED_ATTEMPTS = 20_000
ENTRY_OVERHEAD_BYTES = 500


class AttemptLedger:
    """Stores attempts in progress, and ended ones within limits of count, bytes and time.

    Claims of non-idempotent requests carry increasing log indexes. When an entry is evicted, every
    claim up to its index counts as forgotten, so that a late repetition never runs a second time.
    """

    __slots__ = (
        "ended",
        "forgotten_index",
        "held_bytes",
        "in_progress",
        "limit_bytes",
        "retention_s",
    )

    def __init__(self, limit_bytes: int, retention_s: float) -> None:
        self.in_progress: dict[str, AttemptEntry] = {}
        self.ended: OrderedDict[str, AttemptEntry] = OrderedDict()
        self.forgotten_index = 0
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self.retention_s = retention_s

    def find(self, attempt_id: str) -> AttemptEntry | None:
        """Returns the entry of an attempt, or None for one that is not in the ledger."""
        return self.in_progress.get(attempt_id) or self.ended.get(attempt_id)

    def is_forgotten(self, claim_index: int) -> bool:
        """Returns whether a claim may have been evicted, so that its outcome is unknown."""
        return 0 < claim_index <= self.forgotten_index

    def add(self, attempt_id: str, claim_index: int) -> AttemptEntry:
        """Records a new attempt."""
        entry = AttemptEntry(claim_index)
        self.in_progress[attempt_id] = entry
        return entry

    def end(self, attempt_id: str, entry: AttemptEntry, size_bytes: int, now_s: float) -> None:
        """Records that an attempt has its final reply, and evicts ended ones beyond the limits."""
        self.in_progress.pop(attempt_id, None)
        if entry.phase is not AttemptPhase.REFUSED:
            entry.phase = AttemptPhase.ENDED
        if entry.claim_index > 0 and attempt_id not in self.ended:
            # Idempotent attempts are not retained: a resend makes a new one, and a burst of
            # refusals would displace the results of non-idempotent ones.
            entry.ended_s = now_s
            entry.size_bytes = size_bytes + ENTRY_OVERHEAD_BYTES
            self.held_bytes += entry.size_bytes
            self.ended[attempt_id] = entry
        self._evict(now_s)

    def unfinished(self) -> list[AttemptEntry]:
        """Returns the attempts that have no final reply yet."""
        return [entry for entry in self.in_progress.values() if not entry.reply.done()]

    def _evict(self, now_s: float) -> None:
        while self.ended:
            attempt_id, oldest = next(iter(self.ended.items()))
            within_limits = (
                self.held_bytes <= self.limit_bytes and len(self.ended) <= MAX_ENDED_ATTEMPTS
            )
            if within_limits and now_s - oldest.ended_s <= self.retention_s:
                return
            del self.ended[attempt_id]
            self.held_bytes -= oldest.size_bytes
            self.forgotten_index = max(self.forgotten_index, oldest.claim_index)
