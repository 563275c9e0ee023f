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
# A run that has not begun to progress for longer than this, or for this part of its estimate,
# counts as standing still.
LONGEST_PAUSE_S = 2.0
LONGEST_PAUSE_SHARE = 0.25
# Reports are late by about this much.
REPORT_DELAY_S = 0.1
# The standard deviation of a difference of two percentages, each rounded down to a multiple of 1.
ROUNDING_DEVIATION = 0.41
# Estimates are off by a log deviation of 0.5, so a rate this far below them shows a slow worker.
UNMEASURED_LOG = -1.5
# The log deviation of the true time by the estimate. A pace that is less precise says less.
ESTIMATE_ERROR = 0.5
# The pace of the last seconds that differs from the mean of the run by more than this many standard
# errors shows that the worker has changed its speed.
CHANGED_ERRORS = 2.0


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

    `marks` holds the times and percentages of changes, at most one of them before the window, and
    at least the last two. The first change after the run was seen begins the measurement, because
    progress may have begun at any time before it. `grain` is the step by which the worker rounds
    percentages, as far as they show it.
    """

    __slots__ = (
        "begun_percent",
        "begun_s",
        "first_s",
        "grain",
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
        self.grain = report.percent
        self.begun_s: float | None = None
        self.begun_percent = report.percent
        self.marks: list[tuple[float, int]] = []

    def add(self, percent: int, now_s: float) -> None:
        """Records a report that arrived now."""
        self.last_report_s = max(now_s, self.last_report_s)
        if percent <= self.percent:
            # A lower value is from a report that a newer one has overtaken.
            return
        self.percent = percent
        self.grain = math.gcd(self.grain, percent)
        if self.begun_s is None:
            self.begun_s, self.begun_percent = now_s, percent
        self.marks.append((now_s, percent))
        while len(self.marks) > 2 and self.marks[1][0] <= now_s - PACE_WINDOW_S:
            del self.marks[0]

    def recent(self) -> PaceSample | None:
        """Returns the pace over the last seconds, or None if it is not known yet.

        While reports go on without a change, the run has done at most one more grain.
        """
        if self.begun_s is None:
            idle_s = self.last_report_s - self.first_s - LONGEST_START_S
            if idle_s <= max(LONGEST_PAUSE_S, LONGEST_PAUSE_SHARE * self.report.estimate_s):
                return None
            return make_sample(1.0, idle_s, 1)
        start, end = self.marks[0], self.marks[-1]
        measured = make_sample(end[1] - start[1], end[0] - start[0], self.grain)
        for mark in self.marks:
            if mark[0] <= self.last_report_s - PACE_WINDOW_S:
                start = mark
        grown = end[1] + self.grain - start[1]
        longest = make_sample(grown, self.last_report_s - start[0], self.grain)
        if longest is None or end[0] >= self.last_report_s:
            return measured
        if measured is None:
            # A single change shows no pace until the run is certainly slower than its estimate.
            is_slow = longest.log_rate + math.log(self.report.estimate_s) < UNMEASURED_LOG
            return longest if is_slow else None
        return min(measured, longest, key=lambda sample: sample.log_rate)

    def whole(self, end_s: float) -> PaceSample | None:
        """Returns the pace of a run that is done, or None if hardly any of it was seen."""
        if self.begun_s is None:
            return None
        return make_sample(100.0 - self.begun_percent, end_s - self.begun_s, self.grain)

    def remaining_s(self) -> float | None:
        """Returns the remaining time, or None if no pace is more precise than the estimate.

        The mean of the whole run is more precise than the pace of the last seconds, unless both
        differ by more than their errors.
        """
        recent = self.recent()
        if recent is None:
            return None
        mean = self._mean()
        sample = recent
        if mean is not None and mean.error < recent.error:
            difference = abs(mean.log_rate - recent.log_rate)
            if difference <= CHANGED_ERRORS * math.hypot(mean.error, recent.error):
                sample = mean
        if sample.error >= ESTIMATE_ERROR:
            return None
        return (100 - self.percent) / 100 / math.exp(sample.log_rate)

    def _mean(self) -> PaceSample | None:
        """Returns the pace from the first to the last change."""
        if self.begun_s is None:
            return None
        changed_s, percent = self.marks[-1]
        return make_sample(percent - self.begun_percent, changed_s - self.begun_s, self.grain)


def make_sample(percent: float, span_s: float, grain: int) -> PaceSample | None:
    """Returns the pace of this progress in this time, or None if the time is too short."""
    if span_s < MIN_SPAN_S or percent <= 0:
        return None
    error = math.hypot(ROUNDING_DEVIATION * grain / percent, REPORT_DELAY_S / span_s)
    return PaceSample(math.log(percent / 100 / span_s), error)
