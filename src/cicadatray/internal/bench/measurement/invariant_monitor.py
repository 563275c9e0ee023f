"""Counts broken invariants and keeps the first ones for the report."""

from collections.abc import Set

from cicadatray.internal.bench.measurement.guarantee_check import GuaranteeCheck

NOTES_KEPT = 6


class InvariantMonitor:
    """Checks the guarantees after every decision and loss.

    A violation is counted once when it begins. While the workers in service could not hold all
    guarantees even with nothing running, no order of decisions could, and nothing is counted.
    """

    __slots__ = (
        "check",
        "lost",
        "notes",
        "partial_gangs",
        "unexpected_decisions",
        "violated",
        "violations",
    )

    def __init__(self, check: GuaranteeCheck, lost: Set[str]) -> None:
        self.check = check
        self.lost = lost
        self.violations = 0
        self.partial_gangs = 0
        self.unexpected_decisions = 0
        self.violated = False
        self.notes: list[str] = []

    def observe(self, now_s: float, event: str) -> None:
        """Checks that all guarantees can be placed together."""
        was_violated = self.violated
        self.violated = not self.check.satisfied(self.lost)
        if not self.violated or was_violated:
            return
        if self.check.possible_without_jobs(self.lost):
            held = [f"{job_id} {placement}" for job_id, placement in self.check.holders.values()]
            self.violation(
                now_s, f"guarantees blocked after {event}; lost {self.lost}, held {held}"
            )

    def violation(self, now_s: float, event: str) -> None:
        """Counts a guarantee that is not kept."""
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
        if len(self.notes) < NOTES_KEPT:
            self.notes.append(f"t={now_s:.3f} {text}")
