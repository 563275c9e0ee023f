"""A run that is done, as evidence of the speed of its worker."""

import msgspec

from cicadatray.scheduling.taskgraphs.run_pace import PaceSample, ProgressReport


class EndedRun(msgspec.Struct, frozen=True):
    """The pace of a run that is done, and the clocks of its worker at its end."""

    report: ProgressReport
    sample: PaceSample
    ended_s: float
    worked_s: float
