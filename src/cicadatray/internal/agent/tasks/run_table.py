"""All runs that an agent holds for one incarnation of its worker."""

import structlog

from cicadatray.internal.agent.tasks.held_run import HeldRun, RunPhase
from cicadatray.internal.agent.tasks.worker_port import WorkerView
from cicadatray.internal.wire.messages.graph_messages import RunEnd, RunOrder
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

log = structlog.get_logger(__name__)

# A run that the worker does not list this many times in a row is stopped, which settles it.
MISSING_VIEWS = 2


class RunTable:
    """`ends` are those that control has not noted yet, by number. `finished` remembers runs that
    must not be started again when an order for them arrives late."""

    __slots__ = ("cleared", "committed_end_number", "ends", "finished", "runs")

    def __init__(self) -> None:
        self.runs: dict[TaskRun, HeldRun] = {}
        self.ends: dict[int, RunEnd] = {}
        self.cleared: dict[TaskRun, RunEnd] = {}
        self.finished: set[TaskRun] = set()
        self.committed_end_number = 0

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to look after on the worker."""
        return not self.runs and not self.ends

    def add_start(self, order: RunOrder) -> HeldRun | None:
        """Returns the new run of an order, or None for one that is known already."""
        if order.run in self.runs or order.run in self.finished:
            return None
        held = HeldRun(order.run, order, RunPhase.STARTING)
        self.runs[order.run] = held
        return held

    def apply_view(self, view: WorkerView, asked_s: float) -> tuple[bool, list[HeldRun]]:
        """Takes what the worker lists; `asked_s` is when it was asked.

        Returns whether something ended, and the runs that should be stopped to settle them.
        """
        has_ended = self._take_ends(view)
        listed = {report.run for report in view.running}
        for report in view.running:
            held = self.runs.get(report.run)
            if held is None and report.run not in self.finished:
                held = HeldRun(report.run, None, RunPhase.RUNNING)
                self.runs[report.run] = held
            if held is not None:
                held.percent = report.percent
                held.checkpoint = report.checkpoint
                held.times_missing = 0
                if held.phase is RunPhase.STARTING:
                    held.phase = RunPhase.RUNNING
        unsettled = [
            held
            for run, held in list(self.runs.items())
            if run not in listed and self._is_missing(held, asked_s)
        ]
        return has_ended or bool(unsettled), unsettled

    def drop_committed(
        self, committed_end_number: int, committed_clears: tuple[TaskRun, ...]
    ) -> None:
        """Forgets what is durable in control."""
        self.committed_end_number = max(self.committed_end_number, committed_end_number)
        for number in [n for n in self.ends if n <= committed_end_number]:
            del self.ends[number]
        for run in committed_clears:
            self.cleared.pop(run, None)

    def clear(self, held: HeldRun) -> None:
        """Notes that a run is not on the worker and never will be."""
        if self.runs.pop(held.run, None) is None:
            return
        self.finished.add(held.run)
        self.cleared[held.run] = RunEnd(held.run, RunOutcome.CLEARED)

    def reported_ends(self) -> tuple[RunEnd, ...]:
        """Returns the ends that control should hear of."""
        return (*(self.ends[number] for number in sorted(self.ends)), *self.cleared.values())

    def _take_ends(self, view: WorkerView) -> bool:
        has_ended = False
        for end in view.ended:
            if end.number <= self.committed_end_number or end.number in self.ends:
                continue
            self.ends[end.number] = end
            log.info(
                "end listed",
                run=str(end.run.task),
                number=end.number,
                outcome=end.outcome.value,
                noted=self.committed_end_number,
            )
            self.runs.pop(end.run, None)
            self.finished.add(end.run)
            has_ended = True
        return has_ended

    def _is_missing(self, held: HeldRun, asked_s: float) -> bool:
        """Returns whether a run that the worker does not list needs a stop to settle it."""
        if held.phase is RunPhase.STARTING or asked_s <= held.answered_s:
            return False
        if held.phase is RunPhase.STOPPING:
            if held.answered_s:
                self.clear(held)
                return True
            return False
        held.times_missing += 1
        return held.times_missing >= MISSING_VIEWS
