"""The leader's scheduling loop for task graphs."""

import asyncio
from collections.abc import Generator

import structlog

from cicadatray.internal.control.endless_work import run_endlessly
from cicadatray.internal.control.errors import LeadershipLostError, leadership_lost
from cicadatray.internal.control.graphs.covered_graphs import CoveredGraphs
from cicadatray.internal.control.graphs.end_recorder import (
    BATCHING_DELAY_S,
    EndRecorder,
)
from cicadatray.internal.control.graphs.evacuated_runs import revoke_evacuated, revoke_unstarted
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.guarantee_log import GuaranteeLog
from cicadatray.internal.control.graphs.leaving_work import find_leaving, staying_times
from cicadatray.internal.control.graphs.loss_recorder import LossRecorder
from cicadatray.internal.control.graphs.placement_input import (
    collect_running,
    collect_workers,
    mark_waiting,
)
from cicadatray.internal.control.graphs.planned_displacements import PlannedDisplacements
from cicadatray.internal.control.graphs.round_log import RoundLog
from cicadatray.internal.control.graphs.silence_recorder import SilenceRecorder
from cicadatray.internal.control.graphs.valid_assignments import valid_assignments
from cicadatray.internal.control.graphs.wait_log import WaitLog
from cicadatray.internal.control.graphs.worker_wakes import wake_workers_of
from cicadatray.internal.control.loop_turns import run_in_turns
from cicadatray.internal.observability.graph_metrics import task_wait_seconds
from cicadatray.internal.wire.messages.graph_messages import (
    PlacedRun,
    RecordRuns,
    RunsRecorded,
)
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.placement_round import MAX_STARTS, PlacementRound
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# The interval of rounds without a wake-up, for occurrences that become due and leases that expire.
ROUND_INTERVAL_S = 0.25
# A round that has taken this long, in seconds, may end before it has tried all waiting work.
LONG_ROUND_S = 0.1
# The event loop may do other work after so many starts were ordered.
STARTS_BETWEEN_PAUSES = 16

log = structlog.get_logger(__name__)


class GraphLoop:
    """Records losses, displaces and places work in rounds while this instance leads."""

    __slots__ = (
        "covered_graphs",
        "displacements",
        "guarantee_log",
        "has_applied_earlier_starts",
        "losses",
        "may_end_early",
        "recorder",
        "round_log",
        "session",
        "silences",
        "start_wait",
        "wait_log",
    )

    def __init__(self, session: GraphSession) -> None:
        self.session = session
        self.wait_log = WaitLog(session)
        self.guarantee_log = GuaranteeLog(session)
        self.covered_graphs = CoveredGraphs(session.rules.find_guarantees(), session.ready)
        self.round_log = RoundLog(session)
        self.may_end_early = True
        self.has_applied_earlier_starts = False
        metrics = session.leader.metrics
        self.recorder = EndRecorder(session)
        self.losses = LossRecorder(session, self.recorder)
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
            await self.losses.record()
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

    def _evacuate(self) -> Generator[None, None, None]:
        """Stops work that must leave its workers, so that it restarts elsewhere.

        Yields wherever the caller may pause.
        """
        session = self.session
        for worker in list(session.workers.values()):
            if session.is_evacuated(worker):
                revoke_unstarted(session, worker)
                yield
        staying_s = staying_times(session)
        if not staying_s:
            return
        running = yield from collect_running(session)
        leaving_works = find_leaving(running, staying_s)
        for leaving in leaving_works:
            for run in leaving.work.runs:
                if not session.is_wanted(run):
                    continue
                revoke_evacuated(
                    session,
                    run,
                    remaining_s=round(leaving.work.remaining_s(), 1),
                    worker_stays_s=round(leaving.stays_s, 1),
                )
            yield
        wake_workers_of(session, {leaving.work.graph_id for leaving in leaving_works})

    async def _place(self) -> None:
        await run_in_turns(self._evacuate())
        session = self.session
        if session.speed_observer is not None:
            session.speed_observer.update(session.now_s())
        began_s = session.now_s()
        now_s = session.wall_s()
        await run_in_turns(session.ready.update(now_s))
        waiting = session.ready.waiting()
        if waiting and not self.has_applied_earlier_starts:
            # A plan that does not know a start of an earlier session could give its room away.
            await session.leader.apply_earlier_commands()
            self.has_applied_earlier_starts = True
            now_s = session.wall_s()
            await run_in_turns(session.ready.update(now_s))
            waiting = session.ready.waiting()
        if not waiting:
            await run_in_turns(self.wait_log.scan())
            self.wait_log.record_round({})
            return
        plan = await self._plan(waiting, now_s)
        await run_in_turns(self.wait_log.scan())
        self.wait_log.record_round(plan.waits, plan.held, plan.is_complete)
        self.guarantee_log.record_round(waiting, plan)
        await run_in_turns(self.displacements.carry_out(plan))
        self.round_log.record(len(waiting), plan, session.now_s() - began_s)
        if plan.assignments:
            self._observe_waits(plan, now_s)
            await self._start(plan, now_s)
        if not plan.is_complete:
            session.wake.set()

    async def _plan(self, waiting: list[WaitingWork], now_s: float) -> PlacementPlan:
        """Plans a round over the waiting work; `now_s` is in seconds since 1970.

        The event loop does other work in between. A round that has taken long ends early if it can
        start work or if urgent work has arrived; the next one does not, so that all work gets its
        turn.
        """
        session = self.session
        session.ready.accepted_urgent = False
        running = await run_in_turns(collect_running(session))
        workers = await run_in_turns(collect_workers(session))
        assert running is not None and workers is not None
        covered = self.covered_graphs.find(session.guaranteed_accelerators())
        for work in running:
            work.is_guaranteed = work.graph_id in covered
        await run_in_turns(mark_waiting(session, covered, waiting))
        placement = PlacementRound(
            workers,
            running,
            now_s,
            session.start_limits,
            session.knows_workers(),
            session.rules,
            session.rule_memory,
        )
        long_after_s = session.now_s() + LONG_ROUND_S

        def must_stop() -> bool:
            if not self.may_end_early or session.now_s() < long_after_s:
                return False
            return session.ready.accepted_urgent or bool(placement.plan.assignments)

        await run_in_turns(placement.steps(waiting), must_stop)
        self.may_end_early = placement.plan.is_complete or not self.may_end_early
        return placement.plan

    def _observe_waits(self, plan: PlacementPlan, now_s: float) -> None:
        for work in plan.placed:
            self.start_wait.observe(max(0.0, now_s - work.ready_s), priority=str(work.priority))

    async def _start(self, plan: PlacementPlan, now_s: float) -> None:
        """Stores the starts of a plan, and sends those that took effect.

        A gang is ordered only once all its starts are stored, which may take several commands.
        """
        session = self.session
        assignments = await run_in_turns(valid_assignments(session, plan.assignments))
        assert assignments is not None
        started: list[PlacedRun] = []
        for first in range(0, len(assignments), MAX_STARTS):
            part = tuple(
                PlacedRun(a.run, a.worker_id, session.workers[a.worker_id].agent_id)
                for a in assignments[first : first + MAX_STARTS]
                if a.worker_id in session.workers
            )
            session.proposed_starts = RecordRuns(now_s=now_s, starts=part)
            reply = await session.leader.propose(session.proposed_starts)
            session.proposed_starts = None
            if not isinstance(reply, RunsRecorded):
                raise LeadershipLostError(f"unexpected reply to the starts of runs: {reply}")
            started += reply.started
        await run_in_turns(self._send_orders(started))

    def _send_orders(self, started: list[PlacedRun]) -> Generator[None, None, None]:
        """Orders the stored starts; yields wherever the caller may pause."""
        session = self.session
        for start in started:
            session.ordered_runs.setdefault(start.worker_id, {})[start.run] = session.now_s()
        for place, start in enumerate(started):
            if place % STARTS_BETWEEN_PAUSES == STARTS_BETWEEN_PAUSES - 1:
                yield
            log.info(
                "run placed",
                graph=start.run.task.graph_id,
                task=start.run.task.key,
                run=start.run.run,
                worker=start.worker_id,
                is_alone=session.graphs[start.run.task.graph_id].is_suspect(start.run.task),
            )
            session.statistics.record_start(start.run)
        for worker_id in dict.fromkeys(start.worker_id for start in started):
            worker = session.workers.get(worker_id)
            if worker is not None:
                worker.wake.set()
