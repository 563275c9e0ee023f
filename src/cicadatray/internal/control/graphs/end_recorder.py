"""Commits the ends of runs that agents report."""

import asyncio

import structlog

from cicadatray.internal.control.endless_work import fail_if_cancelled
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.reported_checkpoints import new_checkpoints
from cicadatray.internal.control.graphs.task_lookup import find_task_progress
from cicadatray.internal.control.graphs.worker_wakes import wake_workers_of
from cicadatray.internal.observability.graph_metrics import runs_ended
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd, RecordRuns
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome

# Reports that arrive within this time are handled in one round and committed together.
BATCHING_DELAY_S = 0.01
# At most this many ends are stored in one command, which each instance applies at once.
MAX_ENDS = 250

log = structlog.get_logger(__name__)


class EndRecorder:
    """Proposes each batch of ends without waiting for the commits of earlier batches.

    While no majority answers, ends still enter the leader's log. The first append that gets through
    then makes all of them durable, and no later command becomes durable without them.
    """

    __slots__ = ("ended_runs", "session")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.ended_runs = runs_ended(session.leader.metrics)

    async def run(self) -> None:
        """Proposes ends until leadership is lost.

        Raises:
            LeadershipLostError: a command could not be committed.
            ControlError: the commit of a command was cancelled from elsewhere.
        """
        session = self.session
        async with asyncio.TaskGroup() as commits:
            while True:
                await session.ends_arrived.wait()
                await asyncio.sleep(BATCHING_DELAY_S)
                session.ends_arrived.clear()
                commits.create_task(fail_if_cancelled(self._commit()))

    def drain_new_ends(self, most: int | None = None) -> list[PlacedEnd]:
        """Returns and removes the first ends that are not proposed yet, all without a limit.

        The caller must propose them before it awaits anything else. Otherwise the loss of their
        worker may be proposed first, and the tasks start again although they are done.
        """
        new_ends = self.session.new_ends
        most = len(new_ends) if most is None else most
        ends, self.session.new_ends = new_ends[:most], new_ends[most:]
        return ends

    async def _commit(self) -> None:
        session = self.session
        ends = self.drain_new_ends(MAX_ENDS)
        if not ends:
            return
        if session.new_ends:
            session.ends_arrived.set()
        command = RecordRuns(
            now_s=session.wall_s(), ends=tuple(ends), checkpoints=new_checkpoints(session)
        )
        await session.leader.propose(command)
        self.apply_committed(ends)
        wake_workers_of(session, {placed.end.run.task.graph_id for placed in ends})
        session.wake.set()

    def apply_committed(self, ends: list[PlacedEnd]) -> None:
        """Updates the session, metrics and log for ends that are durable."""
        self.session.apply_committed_ends(ends)
        for placed in ends:
            self.ended_runs.increment(outcome=placed.end.outcome.value)
            log.info(
                "run ended",
                graph=placed.end.run.task.graph_id,
                task=placed.end.run.task.key,
                run=placed.end.run.run,
                worker=placed.worker_id,
                outcome=placed.end.outcome.value,
                number=placed.end.number,
            )
            if placed.end.outcome is RunOutcome.CRASHED:
                self._log_crash(placed)
            self.session.statistics.record_run_end(placed)
        for graph_id in dict.fromkeys(placed.end.run.task.graph_id for placed in ends):
            self.session.statistics.log_if_ended(graph_id)

    def _log_crash(self, placed: PlacedEnd) -> None:
        progress = find_task_progress(self.session.graphs, placed.end.run)
        if progress is None:
            return
        log.info(
            "worker crashed under task",
            task=str(placed.end.run.task),
            run=placed.end.run.run,
            worker=placed.worker_id,
            observed_s=round(placed.end.observed_s, 2),
            crashes=progress.crashes.total,
            early_crashes=progress.crashes.early,
            failure=self.session.graphs[placed.end.run.task.graph_id].failure,
        )
