"""Counts violated invariants and stores the first ones for the report."""

from collections.abc import Set

from cicadatray.internal.bench.measurement.guarantee_check import GuaranteeCheck

MAX_NOTES = 6


class InvariantMonitor:
    """Checks the guarantees after every decision and loss.

    A violation is counted once when it begins. While the workers that neither are lost nor fail
    every task could not hold all guarantees even with nothing running, no order of decisions
    could, and nothing is counted.
    When gangs inside their own guarantees come to block another one through the loss of a worker
    or the end of such a shortage, not through a decision, that is counted in `blocked_by_losses`.
    """

    __slots__ = (
        "blocked",
        "blocked_by_losses",
        "check",
        "failing",
        "has_shortage",
        "lost",
        "notes",
        "partial_gangs",
        "unexpected_decisions",
        "violations",
    )

    def __init__(self, check: GuaranteeCheck, lost: Set[str], failing: Set[str]) -> None:
        self.check = check
        self.lost = lost
        self.failing = failing
        self.violations = 0
        self.blocked_by_losses = 0
        self.partial_gangs = 0
        self.unexpected_decisions = 0
        self.blocked = False
        self.has_shortage = False
        self.notes: list[str] = []

    def observe(self, now_s: float, event: str, loss: bool = False) -> None:
        """Checks that all guarantees can be placed together after a decision or a loss."""
        was_blocked, had_shortage = self.blocked, self.has_shortage
        satisfied = self.check.satisfied(self.lost)
        unusable = self.lost | self.failing
        self.has_shortage = not satisfied and not self.check.possible_without_jobs(unusable)
        self.blocked = not satisfied and not self.has_shortage
        if not self.blocked or was_blocked:
            return
        held = [f"{job_id} {placement}" for job_id, placement in self.check.holders.values()]
        text = f"guarantees blocked after {event}; lost {self.lost}, held {held}"
        if loss or had_shortage:
            self.blocked_by_losses += 1
            self._note(now_s, text)
        else:
            self.violation(now_s, text)

    def violation(self, now_s: float, event: str) -> None:
        """Counts a violated guarantee."""
        self.violations += 1
        self._note(now_s, f"guarantee violation: {event}")

    def partial_gang(self, now_s: float, event: str) -> None:
        """Counts a placement at which the whole gang cannot start."""
        self.partial_gangs += 1
        self._note(now_s, f"partial gang: {event}")

    def unexpected(self, now_s: float, event: str) -> None:
        """Counts a decision that does not fit the state of its job."""
        self.unexpected_decisions += 1
        self._note(now_s, f"unexpected decision: {event}")

    def _note(self, now_s: float, text: str) -> None:
        if len(self.notes) < MAX_NOTES:
            self.notes.append(f"t={now_s:.3f} {text}")
