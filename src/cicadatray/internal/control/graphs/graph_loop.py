"""The leader's loop over task graphs: notes ends, places waiting work, makes room."""

import asyncio

import structlog

from cicadatray.internal.control.errors import LeadershipLostError, leadership_lost
from cicadatray.internal.control.graphs.end_recorder import GATHER_S, EndRecorder
from cicadatray.internal.control.graphs.graph_journal import DISPLACED, EVACUATED
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.placement_input import (
    build_running,
    build_workers,
    mark_guaranteed,
)
from cicadatray.internal.control.graphs.wait_log import WaitLog
from cicadatray.internal.observability.graph_metrics import runs_displaced, task_wait_seconds
from cicadatray.internal.wire.messages.graph_messages import (
    PlacedEnd,
    PlacedRun,
    RecordRuns,
    RunCheckpoint,
    RunsRecorded,
)
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.ready_work import find_ready_work

# The loop looks again after this time without a reason: for occurrences that become due and
# leases that end.
ROUND_INTERVAL_S = 0.25
# At most this much of a checkpointable task's work is done again after a loss of power.
CHECKPOINT_INTERVAL_S = 1.0
# Ended graphs can be read this long.
KEEP_ENDED_S = 150.0

log = structlog.get_logger(__name__)


class GraphLoop:
    """Owns the placement of task graphs while this instance leads."""

    __slots__ = (
        "displaced",
        "next_checkpoints_s",
        "recorder",
        "session",
        "wait_log",
        "waits",
    )

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.wait_log = WaitLog(session)
        self.next_checkpoints_s = 0.0
        metrics = session.leader.metrics
        self.recorder = EndRecorder(session)
        self.displaced = runs_displaced(metrics)
        self.waits = task_wait_seconds(metrics)

    async def run(self) -> None:
        """Runs until leadership is lost.

        Raises:
            LeadershipLostError: as soon as one command could not be committed.
        """
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.recorder.run())
                tasks.create_task(self._run_rounds())
        except* LeadershipLostError as errors:
            raise leadership_lost(errors) from None

    async def _run_rounds(self) -> None:
        while True:
            await self._record_losses()
            await self._place()
            await self._wait()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(ROUND_INTERVAL_S):
                await self.session.wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(GATHER_S)
        self.session.wake.clear()

    async def _record_losses(self) -> None:
        """Commits what no agent reports: runs of lost workers and expired graphs."""
        session = self.session
        lost = self._take_lost_workers()
        ends = self._ends_of(lost)
        removed_graph_ids = self._find_expired_graphs()
        checkpoints = self._take_checkpoints(bool(ends))
        if ends or removed_graph_ids or checkpoints:
            await session.leader.propose(
                RecordRuns(
                    now_s=session.wall_s(),
                    ends=tuple(ends),
                    removed_graph_ids=removed_graph_ids,
                    checkpoints=checkpoints,
                )
            )
            self.recorder.take_committed(ends)
        for worker_id in lost:
            session.forget_worker(worker_id)
        if ends:
            session.wake_all()

    def _ends_of(self, lost: list[str]) -> list[PlacedEnd]:
        """Returns an end for every run of lost workers, behind what their agents still reported."""
        if not lost:
            return []
        ends = self.recorder.take_new()
        for worker_id in lost:
            ends += self.session.lost_runs(worker_id)
        return ends

    def _take_checkpoints(self, is_committing: bool) -> tuple[RunCheckpoint, ...]:
        """Returns checkpoints to store: with another commit, or after a while without one."""
        now_s = self.session.now_s()
        if not is_committing and now_s < self.next_checkpoints_s:
            return ()
        self.next_checkpoints_s = now_s + CHECKPOINT_INTERVAL_S
        return self.session.new_checkpoints()

    def _take_lost_workers(self) -> list[str]:
        session = self.session
        lost = session.find_lost_workers()
        for worker_id in lost:
            held = session.workers.get(worker_id)
            if held is not None:
                held.is_lost = True
            log.info(
                "worker lost",
                worker=worker_id,
                silence_s=round(session.now_s() - held.answered_s, 1) if held else None,
                runs=len(session.ordered.get(worker_id, {})),
            )
        ended = [w for w, held in session.workers.items() if held.is_lost and w not in lost]
        return lost + ended

    def _find_expired_graphs(self) -> tuple[str, ...]:
        now_s = self.session.wall_s()
        return tuple(
            graph_id
            for graph_id, progress in self.session.graphs.items()
            if progress.ended_s
            and now_s - progress.ended_s > KEEP_ENDED_S
            and not any(task.worker_id for task in progress.tasks.values())
        )

    def _evacuate(self) -> None:
        """Stops what a draining worker cannot finish, so that it starts elsewhere the sooner."""
        session = self.session
        draining = {
            worker_id: held.offer.remaining_s
            for worker_id, held in session.workers.items()
            if held.offer.is_draining and not held.is_lost
        }
        if not draining:
            return
        for work in build_running(session):
            stays_s = min(
                (draining[worker_id] for worker_id, _ in work.rooms if worker_id in draining),
                default=None,
            )
            if stays_s is None or work.remaining_s() <= stays_s:
                continue
            for run in work.runs:
                session.revoked.add(run)
                self.displaced.increment(reason=EVACUATED)
                session.journal.note_displaced(run, EVACUATED)
                log.info(
                    "run evacuated",
                    graph=run.task.graph_id,
                    task=run.task.key,
                    run=run.run,
                    remaining_s=round(work.remaining_s(), 1),
                    worker_stays_s=stays_s,
                )
            session.wake_all()

    async def _place(self) -> None:
        self._evacuate()
        session = self.session
        now_s = session.wall_s()
        waiting = [
            work for graph in session.graphs.values() for work in find_ready_work(graph, now_s)
        ]
        if not waiting:
            self.wait_log.note({})
            return
        running = build_running(session)
        mark_guaranteed(session, waiting, running)
        workers = build_workers(session)
        plan = PlacementRound(workers, running, now_s, session.start_limits).run(waiting)
        self.wait_log.note(plan.waits)
        self._displace(plan)
        if not plan.assignments:
            return
        for work in waiting:
            if any(a.run.task == work.task(work.indexes[0]) for a in plan.assignments):
                self.waits.observe(max(0.0, now_s - work.ready_s), priority=str(work.priority))
        starts = tuple(
            PlacedRun(a.run, a.worker_id, session.workers[a.worker_id].agent_id)
            for a in plan.assignments
        )
        reply = await session.leader.propose(RecordRuns(now_s=now_s, starts=starts))
        if not isinstance(reply, RunsRecorded):
            raise LeadershipLostError(f"starts were answered with {reply}")
        self._order(reply.started)

    def _order(self, started: tuple[PlacedRun, ...]) -> None:
        session = self.session
        for start in started:
            session.ordered.setdefault(start.worker_id, {})[start.run] = session.now_s()
            log.info(
                "run placed",
                graph=start.run.task.graph_id,
                task=start.run.task.key,
                run=start.run.run,
                worker=start.worker_id,
            )
            session.journal.note_started(start.run)
            held = session.workers.get(start.worker_id)
            if held is not None:
                held.wake.set()

    def _displace(self, plan: PlacementPlan) -> None:
        session = self.session
        for run, for_graph in plan.displaced.items():
            session.revoked.add(run)
            self.displaced.increment(reason=DISPLACED)
            session.journal.note_displaced(run, DISPLACED)
            log.info(
                "run displaced",
                graph=run.task.graph_id,
                task=run.task.key,
                run=run.run,
                for_graph=for_graph,
            )
        if plan.displaced:
            session.wake_all()
