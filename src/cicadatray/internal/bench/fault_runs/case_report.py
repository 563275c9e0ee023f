"""The result of one fault case."""

import msgspec


class CaseReport(msgspec.Struct):
    """Counts of violations, and the time from the fault until work completes again.

    `unknown` and `not_run` count valid answers, not violations.
    """

    case: str
    lost: int = 0
    duplicated: int = 0
    partial_gangs: int = 0
    reverted: int = 0
    false_not_run: int = 0
    interrupted: int = 0
    wrong_answers: int = 0
    slots_exceeded: int = 0
    double_grants: int = 0
    work_after_leaving: int = 0
    recovery_s: float | None = None
    completed: int = 0
    unknown: int = 0
    not_run: int = 0
    error: str = ""

    def violations(self) -> int:
        """Returns the number of violations; an error of the run itself counts as one."""
        return (
            self.lost
            + self.duplicated
            + self.partial_gangs
            + self.reverted
            + self.false_not_run
            + self.interrupted
            + self.wrong_answers
            + self.slots_exceeded
            + self.double_grants
            + self.work_after_leaving
            + bool(self.error)
        )
