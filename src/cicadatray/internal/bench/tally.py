"""Counts of the outcomes of requests or jobs."""

import msgspec


class Tally(msgspec.Struct):
    """Counts outcomes; `lost` ones got no final answer, `duplicated` ones ran more than once."""

    submitted: int = 0
    completed: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    duplicated: int = 0

    def unaccounted(self) -> int:
        """Returns the number that have no outcome at all."""
        return self.submitted - self.completed - self.not_run - self.unknown - self.lost


class QuickstartReport(msgspec.Struct):
    """The report that a quickstart run prints as its last line."""

    requests: Tally
    jobs: Tally
    partial_gangs: int
    reclaim_s: float | None
    processes: int
    false_not_run: int = 0
    slots_exceeded: int = 0
    double_grants: int = 0
    wrong_answers: int = 0
