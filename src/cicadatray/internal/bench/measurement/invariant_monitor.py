"""Counts violated invariants and stores the first ones for the report."""

from collections.abc import Set

from cicadatray.internal.bench.measurement.guarantee_check import GuaranteeCheck

MAX_NOTES = 6


class InvariantMonitor:
    """Checks the guarantees after every decision and loss.

    A violation is counted once, when it begins. Nothing is counted during a shortage, that is while
    the workers that are neither lost nor failing every task could not hold all guarantees even with
    nothing running, because no order of decisions could satisfy them then.

    If gangs inside their own guarantees block another one because of the loss of a worker or the
    end of a shortage, not because of a decision, that is counted in `blocked_by_losses`.
    """

    __slots__ = (
        "blocked",
        "blocked_by_losses",
        "failing",
        "guarantee_check",
        "has_shortage",
        "lost",
        "notes",
        "partial_gangs",
        "unexpected_decisions",
        "violations",
    )

    def __init__(self, guarantee_check: GuaranteeCheck, lost: Set[str], failing: Set[str]) -> None:
        self.guarantee_check = guarantee_check
        self.lost = lost
        self.failing = failing
        self.violations = 0
        self.blocked_by_losses = 0
        self.partial_gangs = 0
        self.unexpected_decisions = 0
        self.blocked = False
        self.has_shortage = False
        self.notes: list[str] = []

    def check_guarantees(self, now_s: float, event: str, loss: bool = False) -> None:
        """Counts a violation if not all guarantees can be placed after a decision or a loss."""
        was_blocked, had_shortage = self.blocked, self.has_shortage
        satisfied = self.guarantee_check.satisfied(self.lost)
        unusable = self.lost | self.failing
        self.has_shortage = not satisfied and not self.guarantee_check.possible_when_idle(unusable)
        self.blocked = not satisfied and not self.has_shortage
        if not self.blocked or was_blocked:
            return
        held = [
            f"{job_id} {placement}" for job_id, placement in self.guarantee_check.holders.values()
        ]
        text = f"guarantees blocked after {event}; lost {self.lost}, held {held}"
        if loss or had_shortage:
            self.blocked_by_losses += 1
            self._add_note(now_s, text)
        else:
            self.record_violation(now_s, text)

    def record_violation(self, now_s: float, event: str) -> None:
        """Counts a violated guarantee."""
        self.violations += 1
        self._add_note(now_s, f"guarantee violation: {event}")

    def record_partial_gang(self, now_s: float, event: str) -> None:
        """Counts a placement at which the whole gang cannot start."""
        self.partial_gangs += 1
        self._add_note(now_s, f"partial gang: {event}")

    def record_unexpected_decision(self, now_s: float, event: str) -> None:
        """Counts a decision that does not fit the state of its job."""
        self.unexpected_decisions += 1
        self._add_note(now_s, f"unexpected decision: {event}")

    def _add_note(self, now_s: float, text: str) -> None:
        if len(self.notes) < MAX_NOTES:
            self.notes.append(f"t={now_s:.3f} {text}")
