"""The runs of an agent on one incarnation of its worker."""

import structlog

from cicadatray.internal.agent.tasks.run_entry import RunEntry, RunPhase
from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.internal.observability.counter import Counter
from cicadatray.internal.observability.graph_metrics import cleared_runs_ended
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunOrder, RunReport
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

log = structlog.get_logger(__name__)

# A run that is absent from this many views of the worker in a row is stopped, so that its state
# becomes certain.
MAX_TIMES_MISSING = 2
# A stop takes 0.2 to 0.4 s. One that was answered and had no effect is repeated after this time.
STOP_REPEAT_S = 2.0
# Views count for a run whose start gets no answer once that has lasted for this long, in seconds. A
# job may rest for 3 s while it could run elsewhere, and a call without an answer takes 0.8 s.
START_DOUBT_LIMIT_S = 0.8
# The ends of one view that are logged one by one. A process logs 300 lines a second, and a worker
# may list more ends at once.
MAX_END_LINES = 50


class RunTable:
    """Tracks the runs on the worker and the ends that control has to record.

    `ends` contains the run ends that control has not committed, by number. `finished` contains runs
    that must not be started again when an order for them arrives late, with their outcomes, and
    `cleared` those that are certain not to run although the worker listed no end of them.
    `refuted_clears` counts the cleared runs whose ends the worker listed afterwards. The worker has
    forgotten the ends up to `acknowledged_end_number`; ends up to `committed_end_number` may be.
    """

    __slots__ = (
        "acknowledged_end_number",
        "cleared",
        "committed_end_number",
        "ends",
        "finished",
        "refuted_clears",
        "runs",
    )

    def __init__(self, refuted_clears: Counter | None = None) -> None:
        self.runs: dict[TaskRun, RunEntry] = {}
        self.ends: dict[int, RunEnd] = {}
        self.cleared: dict[TaskRun, RunEnd] = {}
        self.finished: dict[TaskRun, RunOutcome] = {}
        self.committed_end_number = 0
        self.acknowledged_end_number = 0
        self.refuted_clears = refuted_clears or cleared_runs_ended(MetricsRegistry())

    @property
    def is_idle(self) -> bool:
        """Returns whether the worker need not be observed."""
        return not self.runs and not self.ends and not self.has_unacknowledged_ends

    @property
    def is_settling(self) -> bool:
        """Returns whether the worker has something to list or to learn that should not wait."""
        if self.ends or (not self.runs and self.has_unacknowledged_ends):
            return True
        return any(entry.phase is RunPhase.STOPPING for entry in self.runs.values())

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Returns whether the worker still lists committed ends, and perhaps no later ones."""
        return self.acknowledged_end_number < self.committed_end_number

    def add_start(self, order: RunOrder) -> RunEntry | None:
        """Adds the run of an order; returns None when it has been added or has finished before."""
        if order.run in self.runs or order.run in self.finished:
            return None
        entry = RunEntry(order.run, order, RunPhase.STARTING)
        self.runs[order.run] = entry
        return entry

    def apply_view(
        self, view: WorkerView, asked_s: float, received_s: float
    ) -> tuple[bool, list[RunEntry]]:
        """Updates the runs from the worker's lists.

        They were requested at `asked_s` and received at `received_s`, on the event loop's clock.
        Returns whether any run has ended or is missing, and the missing runs: those that are now
        cleared, and those whose state is uncertain and that should be stopped for that reason. No
        run is missing from a view that may have left out its end.
        """
        has_ended = self._add_ends(view)
        for report in view.running:
            entry = self.runs.get(report.run)
            if entry is None and report.run not in self.finished:
                entry = RunEntry(report.run, None, RunPhase.RUNNING)
                self.runs[report.run] = entry
            if entry is not None:
                entry.record_listed(report, asked_s, received_s, view.clock_s)
        absent = [self.runs[run] for run in view.find_absent(self.runs)]
        missing = [entry for entry in absent if self._is_missing(entry, asked_s, view)]
        return has_ended or bool(missing), missing

    def find_unstopped(self, view: WorkerView, asked_s: float) -> list[RunEntry]:
        """Returns the runs in a view, requested at `asked_s`, whose stop was answered long ago."""
        listed = [self.runs[report.run] for report in view.running if report.run in self.runs]
        return [
            entry
            for entry in listed
            if entry.phase is RunPhase.STOPPING
            and entry.answered_s
            and asked_s - entry.answered_s > STOP_REPEAT_S
        ]

    def record_acknowledged(self, number: int, view: WorkerView) -> None:
        """Records the answer to a call that acknowledged the ends up to a number."""
        if all(end.number > number for end in view.ended):
            self.acknowledged_end_number = max(self.acknowledged_end_number, number)

    def drop_committed(
        self, committed_end_number: int, committed_clears: tuple[TaskRun, ...]
    ) -> None:
        """Removes the ends and clears that control has committed."""
        self.committed_end_number = max(self.committed_end_number, committed_end_number)
        for number in [n for n in self.ends if n <= committed_end_number]:
            del self.ends[number]
        for run in committed_clears:
            self.cleared.pop(run, None)

    def clear(self, entry: RunEntry) -> None:
        """Records that a run is not on the worker and will never start there."""
        if self.runs.pop(entry.run, None) is None:
            return
        self.finished[entry.run] = RunOutcome.CLEARED
        self.cleared[entry.run] = RunEnd(entry.run, RunOutcome.CLEARED)

    def reported_runs(self) -> tuple[RunReport, ...]:
        """Returns the reports of all runs to control."""
        return tuple(entry.report() for entry in self.runs.values())

    def reported_ends(self) -> tuple[RunEnd, ...]:
        """Returns the run ends to report to control."""
        return (*(self.ends[number] for number in sorted(self.ends)), *self.cleared.values())

    def _add_ends(self, view: WorkerView) -> bool:
        new = [
            end
            for end in view.ended
            if end.number > self.committed_end_number and end.number not in self.ends
        ]
        self._log_ends(new)
        for end in new:
            self.ends[end.number] = end
            self.runs.pop(end.run, None)
            self._check_clear(end)
            self.finished[end.run] = end.outcome
        return bool(new)

    def _log_ends(self, ends: list[RunEnd]) -> None:
        for end in ends[:MAX_END_LINES]:
            log.info(
                "run end listed",
                run=str(end.run.task),
                number=end.number,
                outcome=end.outcome.value,
                noted=self.committed_end_number,
            )
        if len(ends) > MAX_END_LINES:
            log.info(
                "more run ends listed",
                ends=len(ends) - MAX_END_LINES,
                outcomes=sorted({end.outcome.value for end in ends[MAX_END_LINES:]}),
                first_number=ends[MAX_END_LINES].number,
                last_number=ends[-1].number,
            )

    def _check_clear(self, end: RunEnd) -> None:
        """Records an end that refutes a clear: control may have started the task again."""
        if self.finished.get(end.run) is not RunOutcome.CLEARED:
            return
        self.refuted_clears.increment(outcome=end.outcome.value)
        log.error(
            "cleared run has ended",
            run=str(end.run.task),
            number=end.run.run,
            outcome=end.outcome.value,
        )

    def _is_missing(self, entry: RunEntry, asked_s: float, view: WorkerView) -> bool:
        """Returns whether a run that is absent from a view is cleared now or needs a stop."""
        if asked_s <= entry.answered_s:
            return False
        if entry.phase is RunPhase.STARTING and not _is_start_overdue(entry, asked_s):
            return False
        if entry.phase is RunPhase.STOPPING:
            if entry.answered_s:
                log.info(
                    "run cleared",
                    run=str(entry.run.task),
                    number=entry.run.run,
                    runs_listed=len(view.running),
                    ends_listed=len(view.ended),
                )
                self.clear(entry)
                return True
            return False
        entry.times_missing += 1
        return entry.times_missing >= MAX_TIMES_MISSING


def _is_start_overdue(entry: RunEntry, asked_s: float) -> bool:
    """Returns whether a start had no answer for long when a view was requested at `asked_s`."""
    return entry.unanswered_s is not None and asked_s - entry.unanswered_s >= START_DOUBT_LIMIT_S
