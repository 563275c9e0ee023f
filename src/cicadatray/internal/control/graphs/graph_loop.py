"""The leader's scheduling loop for task graphs."""

import asyncio

import structlog

from cicadatray.internal.control.endless_work import run_endlessly
from cicadatray.internal.control.errors import LeadershipLostError, leadership_lost
from cicadatray.internal.control.graphs.end_recorder import BATCHING_DELAY_S, EndRecorder
from cicadatray.internal.control.graphs.evacuated_runs import revoke_evacuated, revoke_unstarted
from cicadatray.internal.control.graphs.expired_graphs import find_expired_graphs
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.guarantee_log import GuaranteeLog
from cicadatray.internal.control.graphs.leaving_work import find_leaving, staying_times
from cicadatray.internal.control.graphs.lost_runs import lost_run_ends
from cicadatray.internal.control.graphs.placement_input import (
    build_running,
    build_workers,
    mark_displacing,
    mark_guaranteed,
)
from cicadatray.internal.control.graphs.planned_displacements import PlannedDisplacements
from cicadatray.internal.control.graphs.pool_capacities import mark_waves
from cicadatray.internal.control.graphs.reported_checkpoints import new_checkpoints
from cicadatray.internal.control.graphs.silence_recorder import SilenceRecorder
from cicadatray.internal.control.graphs.wait_log import WaitLog
from cicadatray.internal.observability.graph_metrics import task_wait_seconds
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
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_end import WorkerEnd

# The interval of rounds without a wake-up, for occurrences that become due and leases that expire.
ROUND_INTERVAL_S = 0.25
# At most this much work of a checkpointable task is repeated after a power loss.
CHECKPOINT_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


class GraphLoop:
    """Records losses, displaces and places work in rounds while this instance leads."""

    __slots__ = (
        "displacements",
        "guarantee_log",
        "has_applied_earlier_starts",
        "next_checkpoints_s",
        "recorder",
        "session",
        "silences",
        "start_wait",
        "wait_log",
    )

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.wait_log = WaitLog(session)
        self.guarantee_log = GuaranteeLog(session)
        self.next_checkpoints_s = 0.0
        self.has_applied_earlier_starts = False
        metrics = session.leader.metrics
        self.recorder = EndRecorder(session)
        self.silences = SilenceRecorder(session)
        self.displacements = PlannedDisplacements(session)
        self.start_wait = task_wait_seconds(metrics)

    async def run(self) -> None:
        """Runs rounds until leadership is lost.

        Raises:
            LeadershipLostError: as soon as a command could not be committed.
            ControlError: the rounds or the recorder of ends have stopped.
        """
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(run_endlessly(self.recorder.run()))
                tasks.create_task(run_endlessly(self.silences.run()))
                tasks.create_task(run_endlessly(self._run_rounds()))
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
        await asyncio.sleep(BATCHING_DELAY_S)
        self.session.wake.clear()

    async def _record_losses(self) -> None:
        """Commits what no agent reports: ends of runs on lost workers, and expired graphs."""
        session = self.session
        lost = self._mark_lost_workers()
        ends = self._lost_run_ends(lost)
        removed_graph_ids = find_expired_graphs(session.graphs, session.wall_s())
        checkpoints = self._due_checkpoints(bool(ends))
        if ends or removed_graph_ids or checkpoints:
            await session.leader.propose(
                RecordRuns(
                    now_s=session.wall_s(),
                    ends=tuple(ends),
                    removed_graph_ids=removed_graph_ids,
                    checkpoints=checkpoints,
                )
            )
            self.recorder.apply_committed(ends)
        for worker_id in lost:
            session.remove_worker(worker_id)
        if ends:
            session.wake_all()

    def _lost_run_ends(self, lost: list[str]) -> list[PlacedEnd]:
        """Returns the ends not proposed yet, followed by one for every run of lost workers."""
        if not lost:
            return []
        ends = self.recorder.drain_new_ends()
        for worker_id in lost:
            ends += lost_run_ends(self.session, worker_id)
        return ends

    def _due_checkpoints(self, is_committing: bool) -> tuple[RunCheckpoint, ...]:
        """Returns checkpoints to store, with every commit and otherwise once per interval."""
        now_s = self.session.now_s()
        if not is_committing and now_s < self.next_checkpoints_s:
            return ()
        self.next_checkpoints_s = now_s + CHECKPOINT_INTERVAL_S
        return new_checkpoints(self.session)

    def _mark_lost_workers(self) -> list[str]:
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

    def _evacuate(self) -> None:
        """Stops work that must leave its workers, so that it restarts elsewhere."""
        session = self.session
        for worker in list(session.workers.values()):
            if session.is_evacuated(worker):
                revoke_unstarted(session, worker)
        staying_s = staying_times(session)
        if not staying_s:
            return
        for leaving in find_leaving(build_running(session), staying_s):
            for run in leaving.work.runs:
                revoke_evacuated(
                    session,
                    run,
                    remaining_s=round(leaving.work.remaining_s(), 1),
                    worker_stays_s=round(leaving.stays_s, 1),
                )
            session.wake_all()

    async def _place(self) -> None:
        self._evacuate()
        session = self.session
        if session.speed_observer is not None:
            session.speed_observer.update(session.now_s())
        now_s = session.wall_s()
        waiting = self._find_waiting(now_s)
        if waiting and not self.has_applied_earlier_starts:
            # A plan that does not know a start of an earlier session could give its room away.
            await session.leader.apply_earlier_commands()
            self.has_applied_earlier_starts = True
            now_s = session.wall_s()
            waiting = self._find_waiting(now_s)
        if not waiting:
            self.wait_log.record_round({})
            return
        plan = self._plan(waiting, now_s)
        self.wait_log.record_round(plan.waits, plan.held)
        self.guarantee_log.record_round(waiting, plan)
        self.displacements.carry_out(plan)
        if plan.assignments:
            self._observe_waits(waiting, plan, now_s)
            await self._start(plan, now_s)

    def _find_waiting(self, now_s: float) -> list[WaitingWork]:
        """Returns the work that is ready; `now_s` is in seconds since 1970."""
        graphs = self.session.graphs.values()
        return [work for graph in graphs for work in find_ready_work(graph, now_s)]

    def _plan(self, waiting: list[WaitingWork], now_s: float) -> PlacementPlan:
        """Plans a round over the waiting work; `now_s` is in seconds since 1970."""
        session = self.session
        running = build_running(session)
        mark_guaranteed(
            session.rules.find_guarantees(),
            session.graphs.values(),
            session.guaranteed_accelerators(),
            waiting,
            running,
        )
        mark_displacing(session.displacing_graphs, waiting)
        mark_waves(session, waiting)
        return PlacementRound(
            build_workers(session),
            running,
            now_s,
            session.start_limits,
            session.knows_workers(),
            session.rules,
            session.rule_memory,
        ).run(waiting)

    def _observe_waits(self, waiting: list[WaitingWork], plan: PlacementPlan, now_s: float) -> None:
        for work in waiting:
            if any(a.run.task == work.task(work.indexes[0]) for a in plan.assignments):
                self.start_wait.observe(max(0.0, now_s - work.ready_s), priority=str(work.priority))

    async def _start(self, plan: PlacementPlan, now_s: float) -> None:
        """Stores the starts of a plan, and sends those that took effect."""
        session = self.session
        starts = tuple(
            PlacedRun(a.run, a.worker_id, session.workers[a.worker_id].agent_id)
            for a in plan.assignments
        )
        session.proposed_starts = RecordRuns(now_s=now_s, starts=starts)
        reply = await session.leader.propose(session.proposed_starts)
        session.proposed_starts = None
        if not isinstance(reply, RunsRecorded):
            raise LeadershipLostError(f"unexpected reply to the starts of runs: {reply}")
        self._send_orders(reply.started)

    def _send_orders(self, started: tuple[PlacedRun, ...]) -> None:
        session = self.session
        for start in started:
            session.ordered_runs.setdefault(start.worker_id, {})[start.run] = session.now_s()
            log.info(
                "run placed",
                graph=start.run.task.graph_id,
                task=start.run.task.key,
                run=start.run.run,
                worker=start.worker_id,
                is_alone=session.graphs[start.run.task.graph_id].is_suspect(start.run.task),
            )
            session.statistics.record_start(start.run)
            worker = session.workers.get(start.worker_id)
            if worker is not None:
                worker.wake.set()
