"""Logs work that waits although its pool has room for it."""

from collections.abc import Sequence

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.observability.queue_metrics import work_held_seconds
from cicadatray.scheduling.taskgraphs.held_work import HeldWork
from cicadatray.scheduling.taskgraphs.hold_memory import HoldMemory

# Work that waits for a moment, until the next round or for others of its gang, is not reported.
REPORT_AFTER_S = 0.5
# At most this many lines are written in one round.
MAX_LINES = 5

log = structlog.get_logger(__name__)


class HoldLog:
    """Logs held work once when it has been held for `REPORT_AFTER_S` and once when it no longer is.

    `reported` has the last report of the work that was logged, by task.
    """

    __slots__ = ("last_round_s", "reported", "session")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.last_round_s = session.now_s()
        self.reported: dict[str, HeldWork] = {}

    def record_round(self, held: Sequence[HeldWork], is_complete: bool = True) -> None:
        """Records the work that a round held back; `held` is empty if there is none.

        Work that a round has not come to counts as held as before.
        """
        if not held and is_complete:
            self.session.rule_memory.get(HoldMemory).clear()
        self._count(held)
        by_task = {_task_of(item): item for item in held if item.held_s >= REPORT_AFTER_S}
        for task in [task for task in by_task if by_task[task].is_started]:
            self.reported[task] = by_task.pop(task)
        if is_complete:
            for task in [task for task in self.reported if task not in by_task]:
                self._log_end(task, self.reported.pop(task))
        new = [(task, item) for task, item in by_task.items() if task not in self.reported]
        for task, item in new[:MAX_LINES]:
            self._log_begin(task, item)
            self.reported[task] = item
        for task in self.reported:
            self.reported[task] = by_task.get(task, self.reported[task])

    def _count(self, held: Sequence[HeldWork]) -> None:
        now_s = self.session.now_s()
        elapsed_s, self.last_round_s = now_s - self.last_round_s, now_s
        if not held:
            return
        seconds = work_held_seconds(self.session.leader.metrics)
        for item in held:
            queue = item.work.graph.graph.policy.queue
            seconds.increment(min(elapsed_s, item.held_s), queue=queue, reason=item.reason.value)

    def _log_begin(self, task: str, item: HeldWork) -> None:
        work = item.work
        log.warning(
            "work held",
            task=task,
            queue=work.graph.graph.policy.queue,
            reason=item.reason.value,
            held_s=round(item.held_s, 2),
            waited_s=round(self.session.wall_s() - work.ready_s, 2),
            tasks=len(work.indexes),
            needs=str(work.step.demand),
            pool_used=round(item.used_share, 2),
        )

    def _log_end(self, task: str, item: HeldWork) -> None:
        log.info(
            "work no longer held",
            task=task,
            reason=item.reason.value,
            held_s=round(item.held_s, 2),
            is_started=item.is_started,
        )


def _task_of(item: HeldWork) -> str:
    return str(item.work.task(item.work.indexes[0]))
