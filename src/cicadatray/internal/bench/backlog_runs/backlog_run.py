"""Plays one backlog and measures each thing that a leader does with it."""

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from cicadatray.internal.bench.backlog_runs.backlog_shapes import backlog_shapes, build_graph
from cicadatray.internal.bench.backlog_runs.bench_leader import WORKERS, BenchLeader
from cicadatray.internal.bench.backlog_runs.loop_holds import LoopHolds
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs.belief_log import BeliefLog
from cicadatray.internal.control.graphs.graph_loop import GraphLoop
from cicadatray.internal.control.loop_turns import run_in_turns
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    EndGraph,
    RunEnd,
    RunReport,
)
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step

ROUNDS = 3
# A job that every worker has room for beside any backlog of the shapes, if it displaces others.
URGENT_STEP = Step(1, Resources(10, 1, 0), 1.0)
URGENT_NUMBER = 0xFFFF_FFFF
MOST_URGENT_ROUNDS = 50


class PhaseCost(msgspec.Struct, frozen=True):
    """The time of one phase and its longest hold of the event loop, in milliseconds."""

    phase: str
    total_ms: float
    longest_hold_ms: float


class BacklogResult(msgspec.Struct, frozen=True):
    """The costs of a backlog of one shape. `started` counts the runs after the first rounds."""

    shape: str
    tasks: int
    started: int
    phases: tuple[PhaseCost, ...]


class BacklogRun:
    """One backlog under a new leader."""

    __slots__ = ("leader", "phases", "shape", "snapshot", "state", "tasks")

    def __init__(self, shape: str, tasks: int) -> None:
        self.shape = shape
        self.tasks = tasks
        self.state = ControlState()
        self.phases: list[PhaseCost] = []
        self.leader: BenchLeader | None = None
        self.snapshot = b""

    async def run(self) -> BacklogResult:
        """Plays all phases in the order of the life of a job."""
        await self._measure("acceptance", self._accept)
        await self._measure("leader's start", self._begin)
        leader = self._leader()
        leader.leader.started_s -= 10.0
        leader.sync_all()
        loop = GraphLoop(leader.session)
        await self._measure("first round", lambda: self._round(loop))
        await self._measure("further rounds", lambda: self._rounds(loop))
        await self._measure("first start of an urgent job", lambda: self._start_urgent(loop))
        started = sum(map(len, leader.session.ordered_runs.values()))
        await self._measure("orders", self._order)
        await self._measure("reports", self._report)
        await self._measure("beliefs", self._find_beliefs)
        await self._measure("metrics", self._render)
        await self._measure("snapshot", self._take_snapshot)
        await self._measure("restore of a snapshot", self._restore)
        await self._measure("ends", lambda: self._end(loop))
        await self._measure("cancelling", self._cancel)
        return BacklogResult(self.shape, self.tasks, started, tuple(self.phases))

    async def _measure(self, phase: str, work: Callable[[], Awaitable[None]]) -> None:
        async with LoopHolds() as holds:
            began_s = time.perf_counter()
            await work()
            total_s = time.perf_counter() - began_s
        cost = PhaseCost(phase, round(1000 * total_s, 1), round(1000 * holds.longest_s, 1))
        self.phases.append(cost)

    def _leader(self) -> BenchLeader:
        assert self.leader is not None
        return self.leader

    async def _accept(self) -> None:
        for graph in backlog_shapes[self.shape](self.tasks):
            await self._apply(AcceptGraph(graph=graph, now_s=time.time()))

    async def _apply(self, command: Any) -> None:
        await asyncio.sleep(0)
        self.state.apply(1, self.state.encode_command(command))

    async def _begin(self) -> None:
        self.leader = BenchLeader(self.state)
        await run_in_turns(self.leader.session.load())

    async def _round(self, loop: GraphLoop) -> None:
        await loop.losses.record()
        await loop._place()

    async def _rounds(self, loop: GraphLoop) -> None:
        for _ in range(ROUNDS):
            self._leader().sync_all()
            await self._round(loop)

    async def _start_urgent(self, loop: GraphLoop) -> None:
        """Accepts an urgent job during a round and plays rounds until it has started."""
        leader = self._leader()
        leader.sync_all()
        running = asyncio.create_task(self._round(loop))
        await asyncio.sleep(0)
        urgent = build_graph(URGENT_NUMBER, (URGENT_STEP,), 0)
        await self._apply(AcceptGraph(graph=urgent, now_s=time.time()))
        await running
        for _ in range(MOST_URGENT_ROUNDS):
            if self.state.graphs.graphs[urgent.graph_id].has_begun:
                return
            await self._round(loop)

    async def _order(self) -> None:
        session = self._leader().session
        for worker in session.workers.values():
            await asyncio.sleep(0)
            session.orders_for(worker)

    async def _report(self) -> None:
        """Handles calls of all agents that list the ordered runs as running."""
        leader = self._leader()
        for number in range(WORKERS):
            await asyncio.sleep(0)
            ordered = leader.session.ordered_runs.get(f"worker-{number}", {})
            leader.sync(number, tuple(RunReport(run, 40) for run in ordered))

    async def _find_beliefs(self) -> None:
        await run_in_turns(BeliefLog(self._leader().session).scan_in_steps())

    async def _render(self) -> None:
        self._leader().leader.metrics.render_text()

    async def _take_snapshot(self) -> None:
        self.snapshot = self.state.snapshot()

    async def _restore(self) -> None:
        ControlState().restore(self.snapshot)

    async def _end(self, loop: GraphLoop) -> None:
        """Reports the end of each run and waits until all are stored."""
        leader = self._leader()
        session = leader.session
        recording = asyncio.create_task(loop.recorder.run())
        for number in range(WORKERS):
            runs = list(session.ordered_runs.get(f"worker-{number}", {}))
            ends = tuple(RunEnd(run, RunOutcome.DONE, n) for n, run in enumerate(runs, 1))
            await asyncio.sleep(0)
            leader.sync(number, ends=ends)
        while any(session.ordered_runs.values()):
            await asyncio.sleep(0.001)
        recording.cancel()

    async def _cancel(self) -> None:
        for graph_id in list(self.state.graphs.graphs):
            await self._apply(EndGraph(graph_id=graph_id, now_s=time.time()))
        await self._round(GraphLoop(self._leader().session))


async def play_backlog(shape: str, tasks: int) -> BacklogResult:
    """Plays a backlog of one shape and size."""
    # What is left of an earlier backlog would be charged to this one.
    gc.collect()
    return await BacklogRun(shape, tasks).run()
