"""The leader's view of task graphs and workers during one term."""

import asyncio
import time

import structlog

from cicadatray.internal.control.graphs.agent_lives import AgentIncarnations
from cicadatray.internal.control.graphs.graph_journal import GraphJournal
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.wire.messages.graph_messages import (
    MemberAddress,
    PlacedEnd,
    RunCheckpoint,
    RunEnd,
    RunOrder,
    SyncWorker,
    WorkerOrders,
)
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress, TaskProgress
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun

# A process that passes on calls says so with each of its probes.
RELAY_FRESH_S = 5.0
# A process needs only a few ways around a partition.
RELAY_LIMIT = 16

log = structlog.get_logger(__name__)


class GraphSession:
    """Soft state; a new leader builds it from the replicated graphs and the calls of agents.

    `workers` is by worker, `ordered` holds the runs that may exist on each worker as the replicated
    state has them, and `revoked` those that are being stopped to make room.
    """

    __slots__ = (
        "agent_incarnations",
        "ends_arrived",
        "journal",
        "leader",
        "leases",
        "new_ends",
        "ordered",
        "relays",
        "replaced",
        "revoked",
        "start_limits",
        "wake",
        "workers",
    )

    def __init__(
        self, leader: LeaderSession, leases: TaskLeases, start_limits: StartLimits
    ) -> None:
        self.leader = leader
        self.leases = leases
        self.start_limits = start_limits
        self.workers: dict[str, WorkerSession] = {}
        self.agent_incarnations = AgentIncarnations()
        self.new_ends: list[PlacedEnd] = []
        self.ends_arrived = asyncio.Event()
        self.ordered: dict[str, dict[TaskRun, float]] = {}
        self.relays: dict[MemberAddress, float] = {}
        self.replaced: set[str] = set()
        self.revoked: set[TaskRun] = set()
        self.wake = asyncio.Event()
        self._adopt_ordered()
        self.journal = GraphJournal(self)

    @property
    def graphs(self) -> dict[str, GraphProgress]:
        """The replicated graphs."""
        return self.leader.state.graphs.graphs

    def now_s(self) -> float:
        """Returns the event loop's time, by which leases are measured."""
        return self.leader.now_s()

    def wall_s(self) -> float:
        """Returns the seconds since 1970, by which occurrences are due."""
        return time.time()

    def take_relay(self, relay: MemberAddress | None) -> tuple[MemberAddress, ...]:
        """Notes a process that passes on calls, and returns all that said so lately."""
        now_s = self.now_s()
        if relay is not None:
            self.relays[relay] = now_s
        for known in [r for r, told_s in self.relays.items() if now_s - told_s > RELAY_FRESH_S]:
            del self.relays[known]
        # Machines of one data centre have adjacent names, so equal distances spread the choice.
        relays = sorted(self.relays, key=lambda known: known.name)
        count = min(len(relays), RELAY_LIMIT)
        return tuple(relays[number * len(relays) // count] for number in range(count))

    def take_call(self, call: SyncWorker) -> WorkerSession | None:
        """Takes up what an agent reports; returns None while it has no worker to offer."""
        if not self.agent_incarnations.accept_call(call, self.now_s()):
            return None
        if call.ended_worker_id:
            self._end_worker(call.agent_id, call.ended_worker_id)
        if call.offer is None:
            return None
        worker_id = call.offer.worker_id
        now_s = self.now_s()
        for former_id in [w for w in self.workers if w != worker_id]:
            self._end_worker(call.agent_id, former_id)
        self._end_unheard_workers(call.agent_id, worker_id)
        session = self.workers.get(worker_id)
        if session is None:
            session = WorkerSession(call.agent_id, call.offer, now_s)
            self.workers[worker_id] = session
            log.info(
                "worker joined",
                worker=worker_id,
                agent=call.agent_id,
                pool=call.offer.pool,
                capacity=call.offer.capacity,
            )
        elif call.offer.is_draining and not session.offer.is_draining:
            log.info("worker drains", worker=worker_id, remaining_s=call.offer.remaining_s)
        if session.is_lost:
            return None
        ends = session.take(call, now_s)
        if ends:
            self.new_ends += ends
            self.ends_arrived.set()
        self.wake.set()
        return session

    def orders_for(self, session: WorkerSession) -> WorkerOrders:
        """Returns what the agent should know and do now."""
        worker_id = session.offer.worker_id
        ordered = self.ordered.get(worker_id, {})
        starts: list[RunOrder] = []
        stops = [run for run in session.reports if run not in ordered]
        for run in ordered:
            if not self.is_wanted(run):
                stops.append(run)
            elif run not in session.reports:
                starts.append(self._order(run))
        return WorkerOrders(
            term=self.leader.term,
            worker_id=worker_id,
            lease_s=self.leases.lease_s,
            committed_end_number=session.noted_number,
            starts=tuple(starts),
            stops=tuple(stops),
            committed_clears=tuple(session.committed_clears),
        )

    def is_wanted(self, run: TaskRun) -> bool:
        """Returns whether a run that may exist should go on."""
        graph = self.graphs.get(run.task.graph_id)
        if graph is None or run in self.revoked or graph.is_cancelled or graph.failure:
            return False
        task = run.task
        progress = graph.tasks.get(task.key)
        if progress is None or progress.run != run.run:
            return False
        step = graph.graph.steps[task.step]
        if not step.is_gang or progress.is_done:
            return True
        members = (graph.task(task.occurrence, task.step, i) for i in range(step.count))
        return all(m is not None and m.worker_id and m.run == run.run for m in members)

    def record_committed(self, ends: list[PlacedEnd]) -> None:
        """Takes note of ends that are durable."""
        by_worker: dict[str, list[PlacedEnd]] = {}
        for placed in ends:
            by_worker.setdefault(placed.worker_id, []).append(placed)
            self.revoked.discard(placed.end.run)
            self.ordered.get(placed.worker_id, {}).pop(placed.end.run, None)
        for worker_id, own in by_worker.items():
            session = self.workers.get(worker_id)
            if session is not None:
                session.note_durable(own)

    def find_lost_workers(self) -> list[str]:
        """Returns workers whose leases have surely ended."""
        now_s = self.now_s()
        lost = []
        for worker_id in {*self.ordered, *self.workers}:
            if worker_id in self.replaced:
                lost.append(worker_id)
                continue
            session = self.workers.get(worker_id)
            heard_s = session.answered_s if session else self.leader.started_s
            if now_s >= heard_s + self.leases.end_s:
                lost.append(worker_id)
        return lost

    def lost_runs(self, worker_id: str) -> list[PlacedEnd]:
        """Returns an end for every run that may have existed on a worker that is gone."""
        session = self.workers.get(worker_id)
        ends = []
        for run in self.ordered.get(worker_id, {}):
            report = session.reports.get(run) if session else None
            checkpoint = report.checkpoint if report else ""
            end = RunEnd(run, RunOutcome.LOST, checkpoint=checkpoint)
            ends.append(PlacedEnd(end, worker_id))
        return ends

    def new_checkpoints(self) -> tuple[RunCheckpoint, ...]:
        """Returns reported checkpoints that are not durable yet, one for each gang."""
        found: dict[tuple[str, int, int, int], RunCheckpoint] = {}
        for session in self.workers.values():
            for run, report in session.reports.items():
                progress = progress_of(self.graphs, run)
                if progress is None or not report.checkpoint or progress.run != run.run:
                    continue
                if report.checkpoint == progress.checkpoint:
                    continue
                task = run.task
                is_gang = self.graphs[task.graph_id].graph.steps[task.step].is_gang
                key = (task.graph_id, task.occurrence, task.step, -1 if is_gang else task.index)
                found[key] = RunCheckpoint(run, report.checkpoint)
        return tuple(found.values())

    def forget_worker(self, worker_id: str) -> None:
        """Removes a worker after the ends of its runs are durable."""
        self.workers.pop(worker_id, None)
        self.replaced.discard(worker_id)
        self.ordered.pop(worker_id, None)

    def wake_all(self) -> None:
        """Lets every waiting agent look for new orders."""
        for session in self.workers.values():
            session.wake.set()

    def _end_worker(self, agent_id: str, worker_id: str) -> None:
        """An agent offers one worker at a time; any other it had has ended with all its runs."""
        session = self.workers.get(worker_id)
        if session is None or session.agent_id != agent_id or session.is_lost:
            return
        session.is_lost = True
        log.info("worker ended", worker=worker_id, agent=agent_id)
        self.wake.set()

    def _end_unheard_workers(self, agent_id: str, worker_id: str) -> None:
        """Ends workers that an earlier leader knew and that this agent has replaced since."""
        agents = self.leader.state.graphs.agents
        for former_id in self.ordered:
            is_unheard = former_id != worker_id and former_id not in self.workers
            if is_unheard and agents.get(former_id) == agent_id and former_id not in self.replaced:
                self.replaced.add(former_id)
                log.info("worker ended", worker=former_id, agent=agent_id, successor=worker_id)

    def _order(self, run: TaskRun) -> RunOrder:
        graph = self.graphs[run.task.graph_id]
        progress = graph.tasks[run.task.key]
        return RunOrder(run, graph.graph.spec, progress.checkpoint)

    def _adopt_ordered(self) -> None:
        for graph in self.graphs.values():
            for key, progress in graph.tasks.items():
                if progress.worker_id:
                    run = TaskRun(TaskId.from_key(graph.graph.graph_id, key), progress.run)
                    self.ordered.setdefault(progress.worker_id, {})[run] = self.leader.started_s


def progress_of(graphs: dict[str, GraphProgress], run: TaskRun) -> TaskProgress | None:
    """Returns the record of a run's task."""
    graph = graphs.get(run.task.graph_id)
    return graph.tasks.get(run.task.key) if graph else None
