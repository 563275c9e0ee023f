"""Stores the ends of runs as agents report them."""

import asyncio

import structlog

from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.observability.graph_metrics import runs_ended
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd, RecordRuns

# News that arrives within this time is handled in one round, and committed together.
GATHER_S = 0.01

log = structlog.get_logger(__name__)


class EndRecorder:
    """Proposes each batch at once, without waiting for the commits of earlier ones.

    While no majority answers, ends still enter the leader's log. The first message that gets
    through then makes all of them durable, together with whatever else it acknowledges.
    """

    __slots__ = ("ended", "ended_graphs", "session")

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.ended = runs_ended(session.leader.metrics)
        self.ended_graphs: set[str] = set()

    async def run(self) -> None:
        """Runs until leadership is lost.

        Raises:
            LeadershipLostError: a command could not be committed.
        """
        session = self.session
        async with asyncio.TaskGroup() as commits:
            while True:
                await session.ends_arrived.wait()
                await asyncio.sleep(GATHER_S)
                session.ends_arrived.clear()
                ends = self.take_new()
                if ends:
                    commits.create_task(self._commit(ends))

    def take_new(self) -> list[PlacedEnd]:
        """Returns the ends that are not proposed yet; the caller proposes them."""
        ends, self.session.new_ends = self.session.new_ends, []
        return ends

    async def _commit(self, ends: list[PlacedEnd]) -> None:
        session = self.session
        command = RecordRuns(
            now_s=session.wall_s(), ends=tuple(ends), checkpoints=session.new_checkpoints()
        )
        await session.leader.propose(command)
        self.take_committed(ends)
        session.wake_all()
        session.wake.set()

    def take_committed(self, ends: list[PlacedEnd]) -> None:
        """Draws the consequences of ends that are durable.

        A run of a lost worker may be among them twice, first as its agent had reported it.
        """
        self.session.record_committed(ends)
        for placed in ends:
            self.ended.increment(outcome=placed.end.outcome.value)
            log.info(
                "run ended",
                graph=placed.end.run.task.graph_id,
                task=placed.end.run.task.key,
                run=placed.end.run.run,
                worker=placed.worker_id,
                outcome=placed.end.outcome.value,
                number=placed.end.number,
            )
        self._log_ended_graphs({placed.end.run.task.graph_id for placed in ends})

    def _log_ended_graphs(self, graph_ids: set[str]) -> None:
        """Logs each graph once that these ends have completed."""
        graphs = self.session.graphs
        self.ended_graphs &= graphs.keys()
        for graph_id in graph_ids - self.ended_graphs:
            progress = graphs.get(graph_id)
            if progress is None or not progress.ended_s or progress.is_cancelled:
                continue
            self.ended_graphs.add(graph_id)
            log.info(
                "graph ended",
                graph=graph_id,
                failure=progress.failure,
                elapsed_s=round(progress.ended_s - progress.accepted_s, 1),
                runs=sum(task.run for task in progress.tasks.values()),
            )
