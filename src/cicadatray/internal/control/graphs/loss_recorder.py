"""Stores what no agent reports: the ends of runs on lost workers, and graphs that have expired."""

from collections.abc import Iterator

import structlog

from cicadatray.internal.control.graphs.end_recorder import MAX_ENDS, EndRecorder
from cicadatray.internal.control.graphs.expired_graphs import find_expired_graphs
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.lost_runs import lost_run_ends
from cicadatray.internal.control.graphs.reported_checkpoints import new_checkpoints
from cicadatray.internal.control.graphs.worker_wakes import wake_workers_of
from cicadatray.internal.wire.messages.graph_messages import PlacedEnd, RecordRuns, RunCheckpoint
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

# At most this much work of a checkpointable task is repeated after a power loss.
CHECKPOINT_INTERVAL_S = 1.0
EXPIRY_SCAN_INTERVAL_S = 1.0
# At most this many expired graphs are removed by one command.
MAX_REMOVALS = 1000

log = structlog.get_logger(__name__)


class LossRecorder:
    """Finds lost workers and expired graphs, and checkpoints that are not stored yet."""

    __slots__ = ("next_checkpoints_s", "next_expiry_scan_s", "recorder", "session")

    def __init__(self, session: GraphSession, recorder: EndRecorder) -> None:
        self.session = session
        self.recorder = recorder
        self.next_checkpoints_s = 0.0
        self.next_expiry_scan_s = 0.0

    async def record(self) -> None:
        """Commits what no agent reports: ends of runs on lost workers, and expired graphs."""
        session = self.session
        lost = self._mark_lost()
        parts = self._find_ends(lost)
        ends = next(parts, [])
        removed_graph_ids = self._find_expired_graphs()
        checkpoints = self._due_checkpoints(bool(ends))
        if ends or removed_graph_ids or checkpoints:
            await self._commit(ends, removed_graph_ids, checkpoints)
        graph_ids = {placed.end.run.task.graph_id for placed in ends}
        for part in parts:
            await self._commit(part)
            graph_ids |= {placed.end.run.task.graph_id for placed in part}
        for worker_id in lost:
            session.remove_worker(worker_id)
        wake_workers_of(session, graph_ids)

    async def _commit(
        self,
        ends: list[PlacedEnd],
        removed_graph_ids: tuple[str, ...] = (),
        checkpoints: tuple[RunCheckpoint, ...] = (),
    ) -> None:
        session = self.session
        command = RecordRuns(
            now_s=session.wall_s(),
            ends=tuple(ends),
            removed_graph_ids=removed_graph_ids,
            checkpoints=checkpoints,
        )
        await session.leader.propose(command)
        self.recorder.apply_committed(ends)

    def _find_expired_graphs(self) -> tuple[str, ...]:
        """Returns the first of the graphs that can be removed, once per interval."""
        now_s = self.session.now_s()
        if now_s < self.next_expiry_scan_s:
            return ()
        self.next_expiry_scan_s = now_s + EXPIRY_SCAN_INTERVAL_S
        return find_expired_graphs(self.session.graphs, self.session.wall_s())[:MAX_REMOVALS]

    def _find_ends(self, lost: list[str]) -> Iterator[list[PlacedEnd]]:
        """Yields the ends not proposed yet, followed by one for every run of lost workers.

        They come in parts, each of which must be stored before the next one is computed.
        """
        if not lost:
            return
        ends = self.recorder.drain_new_ends()
        while len(ends) >= MAX_ENDS:
            yield ends[:MAX_ENDS]
            ends = ends[MAX_ENDS:]
        for worker_id in lost:
            for end in lost_run_ends(self.session, worker_id):
                ends.append(end)
                if len(ends) == MAX_ENDS:
                    yield ends
                    ends = []
        if ends:
            yield ends

    def _due_checkpoints(self, is_committing: bool) -> tuple[RunCheckpoint, ...]:
        """Returns checkpoints to store, with every commit and otherwise once per interval."""
        now_s = self.session.now_s()
        if not is_committing and now_s < self.next_checkpoints_s:
            return ()
        self.next_checkpoints_s = now_s + CHECKPOINT_INTERVAL_S
        return new_checkpoints(self.session)

    def _mark_lost(self) -> list[str]:
        """Marks workers whose leases have expired; returns all lost or replaced workers."""
        session = self.session
        lost = session.find_lost_workers()
        for worker_id in lost:
            worker = session.workers.get(worker_id)
            if worker is not None and worker.end is None:
                worker.end = WorkerEnd.SILENT
            log.info(
                "worker lost",
                worker=worker_id,
                silence_s=round(session.silence_s(worker_id), 1),
                has_called=worker is not None,
                runs=len(session.ordered_runs.get(worker_id, {})),
            )
        replaced = [
            former_id
            for former_id, worker in session.workers.items()
            if worker.is_lost and former_id not in lost
        ]
        return lost + replaced
