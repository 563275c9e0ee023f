"""A simulation of control daemons, task agents and workers that checks invariants under faults."""

import asyncio
import math
import random
import time
from collections import Counter
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from cicadatray.internal.agent.tasks.task_agent import TaskAgent
from cicadatray.internal.control.graphs import worker_orders
from cicadatray.internal.control.graphs.graph_calls import GRAPH_ID_DIGITS
from cicadatray.internal.control.graphs.queue_gauges import register_queue_gauges
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationsReply,
    OrderEvacuation,
)
from cicadatray.internal.wire.messages.graph_messages import (
    CancelGraph,
    GraphState,
    QueueTarget,
    ReadGraph,
    RunEnd,
    SetQueues,
    SubmitGraph,
)
from cicadatray.internal.wire.messages.queue_configuration import (
    Pool,
    Queue,
    QueueAccount,
    QueueConfiguration,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import Repetition
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.control.gangs.link_client import LinkClient
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.shared_log import SharedLog
from cover.control.gangs.simulated_control import EVACUATION_START_LIMIT_S, SimulatedControl
from cover.replication.process_loop import Process, ProcessLoop, end_other_tasks
from cover.taskgraphs.simulated_task_worker import (
    CAPACITY,
    ENDS_PER_ANSWER,
    SimulatedTaskWorker,
    SimulatedTaskWorkerPort,
)

CONTROL_NAMES = ("c1", "c2")
MEMBERS = tuple(ControlMember(name, "127.0.0.1", 1) for name in CONTROL_NAMES)
TICK_S = 0.05
ANNOUNCE_S = 1.0
ELECTION_S = 1.5
# A call is carried out within a confirmation of leadership and a commit, or not at all.
LATE_ORDERS_S = 5.0
WALL_START_S = 1_700_000_000.0
CREDENTIAL_DIGEST = b"k" * 32
# A stop takes 0.2 s and a call up to 0.8 s. The product promises that without faults runs end
# within 3 s of a cancellation.
CANCEL_BOUND_S = 3.5


class SimulatedTaskAgent:
    """A task agent whose process can be frozen or restarted."""

    __slots__ = ("agent", "ended_processes", "layer", "name", "process", "tasks", "worker")

    def __init__(self, name: str, worker: SimulatedTaskWorker, layer: LinkLayer) -> None:
        self.name = name
        self.worker = worker
        self.layer = layer
        self.ended_processes: list[Process] = []
        self.process = Process()
        self.start()

    def start(self) -> None:
        """Replaces the process by a new one without any state."""
        self.process.is_frozen = True
        self.ended_processes.append(self.process)
        self.process = Process()
        client = ControlClient(MEMBERS, message_codec(), b"")
        client.leader_name = CONTROL_NAMES[0]
        client.clients = {
            name: LinkClient(self.layer, self.name, name)  # type: ignore[misc]
            for name in CONTROL_NAMES
        }
        self.agent = TaskAgent(self.name, client)
        loop = asyncio.get_event_loop()
        self.tasks = [
            loop.create_task(work, context=self.process.context)
            for work in (self.agent.run(), self._announce(self.agent))
        ]

    async def _announce(self, agent: TaskAgent) -> None:
        while True:
            if not self.worker.is_down:
                await agent.receive_offer(self.worker.offer(), SimulatedTaskWorkerPort(self.worker))
            await asyncio.sleep(ANNOUNCE_S)


class GraphSimulation:
    """Runs control, agents and workers on virtual time and records violated invariants.

    `task_duration_s` is how long a task works once it, or its whole gang, runs. `evacuated_s` holds
    when the evacuation of each data centre was confirmed, until its withdrawal is requested,
    `withdrawals` how many withdrawals of each were requested, and `withdrawing` how many of these
    are in progress.
    """

    def __init__(self, seed: int, size: int, ends_per_answer: int = ENDS_PER_ANSWER) -> None:
        self.loop = ProcessLoop()
        asyncio.set_event_loop(self.loop)
        self.patches = ExitStack()
        wall = patch.object(time, "time", lambda: WALL_START_S + self.loop.time())
        self.patches.enter_context(wall)
        self.violations: list[str] = []
        self.outage_s = 0.0
        self.task_duration_s = 2.0
        self.failing_workers: set[str] = set()
        self.done: set[TaskId] = set()
        self.starts: dict[TaskRun, float] = {}
        self.noted_as_done: dict[TaskId, TaskRun] = {}
        self.running: dict[TaskId, set[tuple[str, TaskRun]]] = {}
        self.cancelled_s: dict[str, float] = {}
        self.evacuated_s: dict[str, float] = {}
        self.withdrawals: Counter[str] = Counter()
        self.withdrawing: Counter[str] = Counter()
        self.graphs: dict[str, SubmitGraph] = {}
        self.layer = LinkLayer(random.Random(seed))
        self.log = SharedLog(lambda: None)
        self.workers = [
            SimulatedTaskWorker(f"w{n}", seed + n, self._on_start, self._on_end, self._on_note)
            for n in range(size)
        ]
        for worker in self.workers:
            worker.ends_per_answer = ends_per_answer
        self.controls = {
            name: self._in_loop(lambda name=name: SimulatedControl(name, self.log, self.layer))
            for name in CONTROL_NAMES
        }
        self.log.commit(self.log.state.encode_command(_queues()))
        self.log.elect(CONTROL_NAMES[0])
        self.agents = [
            self._in_loop(lambda n=n, w=w: SimulatedTaskAgent(f"a{n}", w, self.layer))
            for n, w in enumerate(self.workers)
        ]

    def close(self) -> None:
        """Cancels all asyncio tasks and restores the patched clock."""
        ended = [process for agent in self.agents for process in agent.ended_processes]
        for process in (*self._processes(), *ended):
            process.thaw()
        self.loop.run_until_complete(end_other_tasks())
        self.loop.close()
        asyncio.set_event_loop(None)
        self.patches.close()

    def advance(self, duration_s: float) -> None:
        """Advances virtual time, and fails on any violated invariant."""
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s and not self.violations:
            self.loop.run_until_complete(asyncio.sleep(TICK_S))
            self._watch_leader()
            self._end_finished_tasks()
            self._check_capacity()
            self._check_cancelled()
        assert not self.violations, self.violations

    def submit(
        self,
        graph_id: str,
        steps: tuple[Step, ...],
        urgent: bool = False,
        repetition: Repetition | None = None,
    ) -> None:
        """Submits a graph as a client; a call that is lost is not repeated."""
        target = _target(("/urgent/" if urgent else "/batch/") + graph_id)
        call = SubmitGraph(target=target, spec=graph_id, steps=steps, repetition=repetition)
        self.graphs[graph_id] = call
        self._call(call)

    def limit_starts(self, count: int) -> None:
        """Limits how many starts fit in one reply to an agent; the others follow in later ones."""
        # The text of each task is the identifier of its graph.
        size = count * GRAPH_ID_DIGITS
        self.patches.enter_context(patch.object(worker_orders, "MAX_STARTS_BYTES", size))

    def submit_deadly(self, graph_id: str, steps: tuple[Step, ...]) -> None:
        """Submits a graph whose tasks crash each worker that starts them."""
        for worker in self.workers:
            worker.deadly_graphs.add(graph_id)
        self.submit(graph_id, steps)

    def crashes_under(self, graph_id: str) -> int:
        """Returns how many crashes of workers there were while a task of the graph ran there."""
        return sum(
            any(run.task.graph_id == graph_id for run in lost)
            for worker in self.workers
            for lost in worker.crashes
        )

    def most_crashes_under_a_task(self) -> int:
        """Returns the highest number of crashes of workers while runs of one task were there."""
        crashes = Counter(
            run.task for worker in self.workers for lost in worker.crashes for run in lost
        )
        return max(crashes.values(), default=0)

    def cancel(self, graph_id: str) -> None:
        """Cancels a graph as a client; only a confirmed cancellation must take effect."""
        leader = self.leader

        async def run() -> None:
            reply = await leader.answer(CancelGraph(target=self.graphs[graph_id].target))
            if isinstance(reply, GraphState) and reply.state == "cancelled":
                self.cancelled_s.setdefault(graph_id, self.loop.time())

        self._in_loop(lambda: self.layer.spawn(leader.process, run))

    def evacuate(self, data_centre: str) -> None:
        """Orders an evacuation as an operator; only a confirmed one must take effect."""
        leader = self.leader
        call = OrderEvacuation(data_centre=data_centre, is_evacuated=True)
        earlier_withdrawals = self.withdrawals[data_centre]
        is_contested = self.withdrawing[data_centre] > 0

        async def run() -> None:
            reply = await leader.answer(call)
            if not isinstance(reply, EvacuationsReply):
                return
            # A withdrawal in progress may be committed before the confirmation or after it.
            if data_centre not in self.log.state.evacuations.active:
                if not is_contested and self.withdrawals[data_centre] == earlier_withdrawals:
                    self.violations.append(f"{data_centre} is confirmed, but not evacuated")
            elif not self.withdrawing[data_centre]:
                self.evacuated_s.setdefault(data_centre, self.loop.time())

        self._in_loop(lambda: self.layer.spawn(leader.process, run))

    def take_back(self, data_centre: str) -> None:
        """Withdraws the evacuation of a data centre as an operator."""
        leader = self.leader
        call = OrderEvacuation(data_centre=data_centre, is_evacuated=False)
        self.evacuated_s.pop(data_centre, None)
        self.withdrawals[data_centre] += 1
        self.withdrawing[data_centre] += 1

        async def run() -> None:
            await leader.answer(call)
            self.withdrawing[data_centre] -= 1

        self._in_loop(lambda: self.layer.spawn(leader.process, run))

    def take_all_back(self) -> None:
        """Withdraws all evacuations, and repeats it until they are withdrawn.

        A leader that was frozen carries out the orders that it got meanwhile, so it is given time.
        """
        self.advance(LATE_ORDERS_S)
        while self.log.state.evacuations.active:
            for data_centre in list(self.log.state.evacuations.active):
                self.take_back(data_centre)
            self.advance(ELECTION_S)

    def state_of(self, graph_id: str) -> MessageStruct:
        """Returns the leader's answer to a read of a graph."""
        call = ReadGraph(target=self.graphs[graph_id].target)
        return self.loop.run_until_complete(self.leader.answer(call))

    def open_graphs(self) -> dict[str, str]:
        """Returns the states of the graphs that have not ended."""
        states = {graph_id: self.state_of(graph_id) for graph_id in self.graphs}
        return {
            graph_id: state.state
            for graph_id, state in states.items()
            if isinstance(state, GraphState) and state.state in ("queued", "running")
        }

    def metrics_text(self) -> str:
        """Returns the metrics of the leader."""
        registry = MetricsRegistry()

        def read() -> str:
            register_queue_gauges(registry, lambda: self.leader.graph_session)
            return registry.render_text()

        text: str = self._in_loop(read)
        return text

    @property
    def leader(self) -> SimulatedControl:
        """The instance whose proposals the log accepts."""
        leader: SimulatedControl = self.controls[self.log.leader]
        return leader

    def change_leader(self) -> None:
        """Elects the other instance if the group can reach it."""
        other = next(name for name in CONTROL_NAMES if name != self.log.leader)
        if self.log.is_reachable(other):
            self.outage_s = 0.0
            self.log.elect(other)

    def restart_agent(self, number: int) -> None:
        """Kills the process of an agent and starts a new one."""
        self._in_loop(self.agents[number % len(self.agents)].start)

    def suspend_machine(self, number: int, duration_s: float) -> None:
        """Suspends an agent with its worker, and lets time pass until both go on."""
        agent = self.agents[number % len(self.agents)]
        agent.process.is_frozen = True
        self._in_loop(agent.worker.suspend)
        self.advance(duration_s)
        self._in_loop(agent.worker.resume)
        agent.process.thaw()

    def cut_agent(self, number: int) -> None:
        """Drops all messages between an agent and control."""
        name = self.agents[number % len(self.agents)].name
        self.layer.cuts |= {(name, c) for c in CONTROL_NAMES}
        self.layer.cuts |= {(c, name) for c in CONTROL_NAMES}

    def heal(self) -> None:
        """Removes every fault."""
        self.layer.cuts.clear()
        self.layer.has_random_faults = False
        self.log.cut_members.clear()
        self.failing_workers.clear()
        for control in self.controls.values():
            control.process.thaw()
        self.log.after_round_trip(self.log.update_members)
        for agent in self.agents:
            agent.process.thaw()
        for worker in self.workers:
            worker.is_unresponsive = False
            worker.deadly_graphs.clear()
            if worker.is_draining:
                worker.restart()

    def _processes(self) -> list[Process]:
        return [c.process for c in self.controls.values()] + [a.process for a in self.agents]

    def _in_loop(self, make: Any) -> Any:
        async def main() -> Any:
            return make()

        return self.loop.run_until_complete(main())

    def _call(self, message: MessageStruct) -> None:
        leader = self.leader

        async def run() -> None:
            await leader.answer(message)

        self._in_loop(lambda: self.layer.spawn(leader.process, run))

    def _watch_leader(self) -> None:
        if self.log.is_reachable(self.log.leader):
            self.outage_s = 0.0
            return
        self.outage_s += TICK_S
        if self.outage_s >= ELECTION_S:
            self.change_leader()

    def _end_finished_tasks(self) -> None:
        """Ends tasks that have worked for `task_duration_s`, gangs as a whole."""
        now_s = self.loop.time()
        for worker in self.workers:
            worker.tick()
            for run, started_s in list(worker.running.items()):
                if run in worker.stopping or not self._is_gang_running(run):
                    continue
                if worker.name in self.failing_workers:
                    worker.end(run, RunOutcome.FAILED)
                elif (
                    now_s - max(started_s, self._gang_running_since_s(run)) >= self.task_duration_s
                ):
                    self._finish(run)

    def _members(self, run: TaskRun) -> list[TaskRun]:
        step = self.graphs[run.task.graph_id].steps[run.task.step]
        if not step.is_gang:
            return [run]
        task = run.task
        return [
            TaskRun(TaskId(task.graph_id, task.occurrence, task.step, index), run.run)
            for index in range(step.count)
        ]

    def _is_gang_running(self, run: TaskRun) -> bool:
        present = {r for worker in self.workers for r in worker.running}
        return all(member in present for member in self._members(run))

    def _gang_running_since_s(self, run: TaskRun) -> float:
        return max(self.starts[member] for member in self._members(run))

    def _finish(self, run: TaskRun) -> None:
        members = set(self._members(run))
        self.done |= {member.task for member in members}
        for worker in self.workers:
            for other in [r for r in worker.running if r in members]:
                worker.end(other, RunOutcome.DONE)

    def _on_start(self, worker: SimulatedTaskWorker, run: TaskRun) -> None:
        self.starts.setdefault(run, self.loop.time())
        self._check_evacuated(worker, run)
        step = self.graphs[run.task.graph_id].steps[run.task.step]
        for earlier in step.depends_on:
            for index in range(self.graphs[run.task.graph_id].steps[earlier].count):
                task = TaskId(run.task.graph_id, 0, earlier, index)
                if task not in self.done:
                    self.violations.append(f"{run} started before {task} was done")
        if run.task in self.noted_as_done:
            self.violations.append(f"{run} started after {self.noted_as_done[run.task]} was done")
        others = self.running.setdefault(run.task, set())
        if others:
            self.violations.append(f"{run} started on {worker.worker_id} while {others} still ran")
        others.add((worker.worker_id, run))

    def _check_evacuated(self, worker: SimulatedTaskWorker, run: TaskRun) -> None:
        """Checks that an agent sends no start later than the bound, whatever fails.

        A worker that carries out an order late is not counted.
        """
        confirmed_s = self.evacuated_s.get(worker.data_centre, math.inf)
        late_s = worker.start_sent_s - confirmed_s - EVACUATION_START_LIMIT_S
        if late_s > 0:
            self.violations.append(
                f"{run} started in {worker.data_centre} {late_s:.2f} s after the bound"
            )

    def _on_note(self, end: RunEnd) -> None:
        if end.outcome is not RunOutcome.DONE:
            return
        self.noted_as_done[end.run.task] = end.run
        later = [r for r in self.starts if r.task == end.run.task and r.run > end.run.run]
        if later:
            self.violations.append(f"{later} started although {end.run} was done")

    def _on_end(self, worker: SimulatedTaskWorker, run: TaskRun, outcome: RunOutcome) -> None:
        self.running.get(run.task, set()).discard((worker.worker_id, run))

    def _check_capacity(self) -> None:
        for worker in self.workers:
            used = Resources()
            for run in worker.running:
                used = used.plus(self.graphs[run.task.graph_id].steps[run.task.step].demand)
            if not used.fits_in(CAPACITY):
                self.violations.append(f"{worker.worker_id} is over its capacity: {used}")

    def _check_cancelled(self) -> None:
        """Checks that runs of cancelled graphs end in time.

        Any fault voids the time limit of the cancellations before it.
        """
        if self.layer.cuts or self.layer.has_random_faults or self.outage_s:
            self.cancelled_s.clear()
        if any(w.is_unresponsive for w in self.workers) or any(
            p.is_frozen for p in self._processes()
        ):
            self.cancelled_s.clear()
        for graph_id, sent_s in self.cancelled_s.items():
            if self.loop.time() < sent_s + CANCEL_BOUND_S:
                continue
            runs = [r for w in self.workers for r in w.running if r.task.graph_id == graph_id]
            if runs:
                self.violations.append(f"{runs} still run after their graph was cancelled")


def _target(path: str) -> QueueTarget:
    return QueueTarget("host", path, CREDENTIAL_DIGEST)


def _queues() -> SetQueues:
    queues = tuple(
        Queue("host", f"/{name}/", QueuePolicy(name, "pool", priority, 3, stretch, 1.0))
        for name, priority, stretch in (("urgent", 0, 2.0), ("batch", 2, 4.0))
    )
    account = QueueAccount("account", (CREDENTIAL_DIGEST,), guaranteed_accelerators=8)
    configuration = QueueConfiguration(1, queues, (Pool("pool"),), (account,))
    return SetQueues(configuration=configuration, source=b"{}")
