"""The runs in the replicated state, which the leader has to order."""

from collections.abc import Generator
from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs.task_lookup import find_task_progress
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import PlacedRun, RecordRuns
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

if TYPE_CHECKING:
    from cicadatray.internal.control.graphs.graph_session import GraphSession

# The caller may pause after so many tasks.
TASKS_BETWEEN_PAUSES = 256

log = structlog.get_logger(__name__)


def load_ordered_runs(session: "GraphSession") -> Generator[None, None, None]:
    """Adds the runs that may exist when a session begins; yields wherever the caller may pause."""
    for graph in list(session.graphs.values()):
        yield
        if not graph.has_runs:
            continue
        for place, (key, task) in enumerate(list(graph.tasks.items())):
            if place % TASKS_BETWEEN_PAUSES == TASKS_BETWEEN_PAUSES - 1:
                yield
            if task.worker_id:
                run = TaskRun(TaskId.from_key(graph.graph.graph_id, key), task.run)
                ordered = session.ordered_runs.setdefault(task.worker_id, {})
                ordered[run] = session.leader.started_s


def is_recorded(session: "GraphSession", run: TaskRun, worker_id: str) -> bool:
    """Returns whether the replicated state says that a run may exist on a worker."""
    progress = find_task_progress(session.graphs, run)
    return progress is not None and (progress.run, progress.worker_id) == (run.run, worker_id)


class LateCommits:
    """Follows the starts and ends that commit after the session that proposed them has ended.

    A leader whose command does not commit in time begins a new session, in the same term if no
    other instance was elected. The command is still in its log and may commit at any later time.
    """

    __slots__ = ("session",)

    def __init__(self, session: "GraphSession") -> None:
        self.session = session

    def on_command_applied(self, command: MessageStruct) -> None:
        """Removes the runs that have ended, and adds the starts of an earlier session."""
        session = self.session
        if not isinstance(command, RecordRuns):
            return
        for placed in command.ends:
            if not is_recorded(session, placed.end.run, placed.worker_id):
                session.ordered_runs.get(placed.worker_id, {}).pop(placed.end.run, None)
        if command != session.proposed_starts:
            for start in command.starts:
                self._order(start)

    def _order(self, start: PlacedRun) -> None:
        session, run = self.session, start.run
        if not is_recorded(session, run, start.worker_id):
            return
        session.ordered_runs.setdefault(start.worker_id, {})[run] = session.now_s()
        worker = session.workers.get(start.worker_id)
        log.info(
            "run of an earlier session placed",
            graph=run.task.graph_id,
            task=run.task.key,
            run=run.run,
            worker=start.worker_id,
            is_worker_known=worker is not None,
        )
        session.statistics.record_start(run)
        if worker is not None:
            worker.wake.set()
