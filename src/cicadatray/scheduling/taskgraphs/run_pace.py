"""The pace of one run, from reports of its progress."""

import math

import msgspec

# The pace is measured over the progress of this time, so that a change in the middle of a run is
# seen within about 3 s.
PACE_WINDOW_S = 2.5
# Below this span a pace says more about the times of the reports than about the run.
MIN_SPAN_S = 0.7
# A run does not progress while it starts or restores a checkpoint.
LONGEST_START_S = 0.6
# Reports come about once a second. A shorter pause is the grain of the reports.
MIN_STILL_S = 1.5
REPORT_INTERVAL_S = 1.0
# The reports of a change may be late by about this much.
REPORT_DELAY_S = 0.1
# The progress that a run without a visible change may have made: half a percent.
UNSEEN_PERCENT = 0.5


class ProgressReport(msgspec.Struct, frozen=True):
    """The progress of one run as its worker reports it.

    `run_id` identifies the run. All tasks with the same `step_id` have the same estimate. `percent`
    is -1 while the worker does not list the run.
    """

    run_id: str
    step_id: str
    queue: str
    estimate_s: float
    is_gang: bool
    percent: int


class PaceSample(msgspec.Struct, frozen=True):
    """A measured pace: the log of the share of a run done per second, and its standard error."""

    log_rate: float
    error: float


class RunPace:
    """Measures the pace of one run over its last seconds.

    `marks` holds the times and percentages of changes, at most one of them before the window. The
    first change after the run was seen begins the measurement, because progress may have begun at
    any time before it.
    """

    __slots__ = (
        "begun_percent",
        "begun_s",
        "changes",
        "first_s",
        "last_report_s",
        "marks",
        "percent",
        "report",
    )

    def __init__(self, report: ProgressReport, now_s: float) -> None:
        self.report = report
        self.first_s = now_s
        self.last_report_s = now_s
        self.percent = report.percent
        self.begun_s: float | None = None
        self.begun_percent = report.percent
        self.changes = 0
        self.marks: list[tuple[float, int]] = []

    def add(self, percent: int, now_s: float) -> None:
        """Records a report that arrived now."""
        self.last_report_s = max(now_s, self.last_report_s)
        if percent == self.percent:
            return
        if percent < self.percent:
            # A report that was overtaken by a newer one; a restarted task is another run.
            return
        self.percent = percent
        if self.begun_s is None:
            self.begun_s, self.begun_percent = now_s, percent
        else:
            self.changes += 1
        self.marks.append((now_s, percent))
        while len(self.marks) > 2 and self.marks[1][0] <= now_s - PACE_WINDOW_S:
            del self.marks[0]

    def is_still(self) -> bool:
        """Returns whether reports have gone on without progress for longer than their grain."""
        if self.begun_s is None:
            idle_s = self.last_report_s - self.first_s - LONGEST_START_S
        else:
            idle_s = self.last_report_s - self.marks[-1][0]
        return idle_s > self._longest_pause_s()

    def recent(self) -> PaceSample | None:
        """Returns the pace over the last seconds, or None if it is not known yet."""
        if self.begun_s is None:
            if not self.is_still():
                return None
            start_s, start_percent = self.first_s + LONGEST_START_S, float(self.percent)
        else:
            start_s, start_percent = self.marks[0][0], float(self.marks[0][1])
        if self.is_still():
            end_s, end_percent = self.last_report_s, self.percent + UNSEEN_PERCENT
            for mark_s, mark_percent in self.marks:
                if mark_s <= end_s - PACE_WINDOW_S:
                    start_s, start_percent = mark_s, float(mark_percent)
        else:
            end_s, end_percent = self.marks[-1][0], float(self.marks[-1][1])
        return make_sample(end_percent - start_percent, end_s - start_s)

    def whole(self, end_s: float) -> PaceSample | None:
        """Returns the pace of a run that is done, or None if hardly any of it was seen."""
        if self.begun_s is None:
            return None
        return make_sample(100.0 - self.begun_percent, end_s - self.begun_s)

    def remaining_s(self) -> float | None:
        """Returns the remaining time at the pace of the last seconds, or None if it is unknown."""
        sample = self.recent()
        if sample is None:
            return None
        return (100 - self.percent) / 100 / math.exp(sample.log_rate)

    def _longest_pause_s(self) -> float:
        """Returns how long a run may go on without a visible change."""
        pause_s = max(REPORT_INTERVAL_S, self.report.estimate_s / 100)
        if self.changes and self.begun_s is not None:
            pause_s = (self.marks[-1][0] - self.begun_s) / self.changes
        return max(MIN_STILL_S, 0.5 + 1.5 * pause_s)


def make_sample(percent: float, span_s: float) -> PaceSample | None:
    """Returns the pace of this progress in this time, or None if the time is too short."""
    if span_s < MIN_SPAN_S or percent <= 0:
        return None
    error = math.hypot(0.5 / max(percent, 1.0), REPORT_DELAY_S / span_s)
    return PaceSample(math.log(percent / 100 / span_s), error)
