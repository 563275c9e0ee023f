"""Logs what a leader believes of workers and runs for longer than usual."""

import asyncio
from collections.abc import Generator, Mapping

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import RUNS_BETWEEN_PAUSES
from cicadatray.internal.control.graphs.worker_availability import (
    Unavailability,
    collect_unavailable,
    find_unknown_runs,
)
from cicadatray.internal.control.loop_turns import run_at_once, run_in_turns
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

# Also the shortest time for which a belief is logged.
SCAN_INTERVAL_S = 1.0
# A stop takes 0.2 to 0.4 s and a call of an agent 0.5 s, so a run that is to end is gone by then.
LATE_END_S = 2.0
# At most this many lines about runs are logged in one scan.
MAX_LINES = 20

log = structlog.get_logger(__name__)


class BeliefLog:
    """Logs when workers begin and cease to take work, and runs that hold their tasks back.

    `unavailable` holds the reason and the time of the first scan that found it, by worker. `ending`
    holds since when each run is to end, and `logged` the runs among these that were logged. Times
    are the event loop's.
    """

    __slots__ = ("ending", "logged", "session", "unavailable")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.unavailable: dict[str, tuple[Unavailability, float]] = {}
        self.ending: dict[TaskRun, float] = {}
        self.logged: set[TaskRun] = set()

    async def run(self) -> None:
        """Scans until cancelled, also while no round of placement ends."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            try:
                await run_in_turns(self.scan_in_steps())
            except Exception:
                # The leader must not end its session because it cannot tell what it believes.
                log.exception("beliefs not logged")

    def scan(self) -> None:
        """Logs what has changed since the last scan."""
        run_at_once(self.scan_in_steps())

    def scan_in_steps(self) -> Generator[None, None, None]:
        """Does the same as `scan`, and yields wherever the caller may pause."""
        found = yield from collect_unavailable(self.session)
        self._log_workers(found)
        held = yield from self._find_ending()
        self._log_runs(held)

    def _log_workers(self, found: Mapping[str, Unavailability]) -> None:
        session, now_s = self.session, self.session.now_s()
        for worker_id, (reason, since_s) in list(self.unavailable.items()):
            if found.get(worker_id) is not reason:
                del self.unavailable[worker_id]
                duration_s = round(now_s - since_s, 1)
                log.info(
                    "worker takes no work, ended",
                    worker=worker_id,
                    reason=reason.value,
                    duration_s=duration_s,
                    is_known=worker_id in session.workers,
                )
        for worker_id, reason in found.items():
            if worker_id in self.unavailable:
                continue
            self.unavailable[worker_id] = (reason, now_s)
            worker = session.workers.get(worker_id)
            if worker is None:
                continue
            log.info(
                "worker takes no work",
                worker=worker_id,
                agent=worker.agent_id,
                reason=reason.value,
                silence_s=round(now_s - worker.last_reply_s, 1),
                runs=len(session.ordered_runs.get(worker_id, {})),
                unknown_runs=find_unknown_runs(session, worker)[:MAX_LINES],
            )

    def _log_runs(self, held: Mapping[TaskRun, str]) -> None:
        now_s = self.session.now_s()
        for run in self.ending.keys() - held.keys():
            since_s = self.ending.pop(run)
            if run in self.logged:
                self.logged.discard(run)
                log.info("run has ended late", **_name(run), duration_s=round(now_s - since_s, 1))
        lines = 0
        for run, worker_id in held.items():
            since_s = self.ending.setdefault(run, now_s)
            if now_s - since_s >= LATE_END_S and run not in self.logged and lines < MAX_LINES:
                lines += 1
                self.logged.add(run)
                self._log_late(run, worker_id, now_s - since_s)

    def _find_ending(self) -> Generator[None, None, dict[TaskRun, str]]:
        """Returns the runs that may exist and should not, or that nobody was told to start.

        Yields wherever the caller may pause.
        """
        session = self.session
        held: dict[TaskRun, str] = {}
        for worker_id, ordered in list(session.ordered_runs.items()):
            yield
            for place, run in enumerate(list(ordered)):
                if place % RUNS_BETWEEN_PAUSES == RUNS_BETWEEN_PAUSES - 1:
                    yield
                if worker_id not in session.workers or not session.is_wanted(run):
                    held[run] = worker_id
        for graph_id, graph in list(session.graphs.items()):
            yield
            if not graph.has_runs:
                continue
            for place, (key, task) in enumerate(list(graph.tasks.items())):
                if place % RUNS_BETWEEN_PAUSES == RUNS_BETWEEN_PAUSES - 1:
                    yield
                if task.worker_id:
                    run = TaskRun(TaskId.from_key(graph_id, key), task.run)
                    if run not in session.ordered_runs.get(task.worker_id, {}):
                        held[run] = task.worker_id
        return held

    def _log_late(self, run: TaskRun, worker_id: str, held_s: float) -> None:
        session = self.session
        worker = session.workers.get(worker_id)
        report = worker.reports.get(run) if worker else None
        ordered_s = session.ordered_runs.get(worker_id, {}).get(run)
        log.warning(
            "run holds its task back",
            **_name(run),
            worker=worker_id,
            agent=session.leader.state.graphs.agents.get(worker_id, ""),
            held_s=round(held_s, 1),
            is_ordered=ordered_s is not None,
            ordered_before_s=round(session.now_s() - ordered_s, 1) if ordered_s else None,
            is_worker_known=worker is not None,
            silence_s=round(session.now_s() - worker.last_reply_s, 1) if worker else None,
            percent=report.percent if report else None,
            is_revoked=run in session.revoked_runs,
            is_end_proposed=(worker_id, run) in session.unstored_ends,
        )


def _name(run: TaskRun) -> dict[str, object]:
    return {"graph": run.task.graph_id, "task": run.task.key, "run": run.run}
