"""The leader's soft state of task graphs and workers during one term."""

import asyncio
import time
from collections import Counter
from collections.abc import Generator

import structlog

from cicadatray.internal.control.graphs.agent_incarnations import AgentIncarnations
from cicadatray.internal.control.graphs.evacuation_limits import EvacuationLimits
from cicadatray.internal.control.graphs.former_workers import (
    end_former_workers,
    end_worker,
    has_successor,
    last_ends,
)
from cicadatray.internal.control.graphs.graph_admission import GraphAdmission
from cicadatray.internal.control.graphs.graph_statistics import GraphStatistics
from cicadatray.internal.control.graphs.proposed_silences import ProposedSilences
from cicadatray.internal.control.graphs.ready_index import ReadyIndex
from cicadatray.internal.control.graphs.recorded_runs import is_recorded, load_ordered_runs
from cicadatray.internal.control.graphs.relay_directory import RelayDirectory
from cicadatray.internal.control.graphs.speed_observer import SpeedObserver
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.control.graphs.unbegun_graphs import UnbegunGraphs
from cicadatray.internal.control.graphs.worker_orders import build_orders
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.loop_turns import run_at_once
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import (
    PlacedEnd,
    RecordRuns,
    RunEnd,
    SyncWorker,
    WorkerOrders,
)
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import DEFAULT_RULES, SchedulingRules
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.task_id import TaskRun

# After a change of leader the agents that can reach the new one have called it by then: the slowest
# of 50 took 0.75 s on days with faults.
AGENTS_RETURN_S = 1.0
NO_LIMITS = EvacuationLimits()

log = structlog.get_logger(__name__)


class GraphSession:
    """Tracks workers and runs while this instance leads.

    A new leader builds this state from the replicated graphs and the calls of agents. Unless
    `is_loaded` is set, `load` must be run before the session is used. `workers` is
    keyed by worker identifier. `ordered_runs` holds, for each worker, the runs that may exist there
    according to the replicated state, with the time of their order. `revoked_runs` are being
    stopped to free capacity, and `displacing_graphs` holds, for each waiting graph for which
    that was done, since when. `replaced_workers` belonged to an earlier leader's term and have been
    replaced by another worker of the same agent. `rule_memory` is what the scheduling rules keep
    between rounds. `new_ends` are reported ends that are not proposed yet, and `unstored_ends` the
    workers and runs of all reported ends that are not durable yet. `proposed_starts` is the command
    with starts that this session waits for. `ready` finds the work that is ready to start,
    and `unbegun` has the graphs of which nothing has started.
    `pending_evacuations` counts the orders by data centre that may not be committed yet.
    `silence_credits_s` are the silences of workers that earlier leaders had recorded when this
    session began, and `proposed_silences` are those that this process has proposed, in any session.
    `wake` starts the next round.
    """

    __slots__ = (
        "admission",
        "agent_incarnations",
        "displacing_graphs",
        "ends_arrived",
        "evacuation_limits",
        "leader",
        "leases",
        "new_ends",
        "ordered_runs",
        "pending_evacuations",
        "proposed_silences",
        "proposed_starts",
        "ready",
        "relays",
        "replaced_workers",
        "revoked_runs",
        "rule_memory",
        "rules",
        "silence_credits_s",
        "speed_observer",
        "start_limits",
        "statistics",
        "unbegun",
        "unstored_ends",
        "wake",
        "workers",
    )

    def __init__(
        self,
        leader: LeaderSession,
        leases: TaskLeases,
        start_limits: StartLimits,
        rules: SchedulingRules = DEFAULT_RULES,
        evacuation_limits: EvacuationLimits = NO_LIMITS,
        proposed_silences: ProposedSilences | None = None,
        is_loaded: bool = True,
    ) -> None:
        self.leader = leader
        self.leases = leases
        self.start_limits = start_limits
        self.rules = rules
        self.evacuation_limits = evacuation_limits
        self.rule_memory = RuleMemory()
        self.admission = GraphAdmission(self)
        uses_speeds = rules.find_candidates().uses_speeds
        self.speed_observer = SpeedObserver(self) if uses_speeds else None
        self.pending_evacuations: Counter[str] = Counter()
        self.workers: dict[str, WorkerSession] = {}
        self.agent_incarnations = AgentIncarnations()
        self.new_ends: list[PlacedEnd] = []
        self.unstored_ends: set[tuple[str, TaskRun]] = set()
        self.ends_arrived = asyncio.Event()
        self.ordered_runs: dict[str, dict[TaskRun, float]] = {}
        self.proposed_silences = proposed_silences or ProposedSilences()
        self.silence_credits_s = dict(leader.state.graphs.silences)
        self.proposed_starts: RecordRuns | None = None
        self.ready = ReadyIndex(leader.state.graphs.graphs)
        self.unbegun = UnbegunGraphs(leader.state.graphs.graphs)
        self.relays = RelayDirectory()
        self.replaced_workers: set[str] = set()
        self.revoked_runs: set[TaskRun] = set()
        self.displacing_graphs: dict[str, float] = {}
        self.wake = asyncio.Event()
        self.statistics = GraphStatistics(self)
        if is_loaded:
            run_at_once(self.load())

    def load(self) -> Generator[None, None, None]:
        """Reads the runs and jobs of the replicated state; yields wherever the caller may pause.

        No call may be handled before. Commands may be applied meanwhile, if `LateCommits` listens.
        """
        yield from load_ordered_runs(self)
        yield from self.unbegun.load()
        yield from self.statistics.load()

    def on_command_applied(self, command: MessageStruct) -> None:
        """Updates what is derived from the replicated graphs."""
        self.ready.on_command_applied(command)
        self.unbegun.on_command_applied(command)

    @property
    def graphs(self) -> dict[str, GraphProgress]:
        """The replicated graphs by identifier."""
        return self.leader.state.graphs.graphs

    def now_s(self) -> float:
        """Returns the event loop's time in seconds, by which leases are measured."""
        return self.leader.now_s()

    def wall_s(self) -> float:
        """Returns the seconds since 1970, by which occurrences become due."""
        return time.time()

    def guaranteed_accelerators(self) -> dict[str, int]:
        """Returns the guarantee of each account by its name."""
        accounts = self.leader.state.graphs.queues.accounts
        return {account.name: account.guaranteed_accelerators for account in accounts}

    def knows_workers(self) -> bool:
        """Returns whether the agents had time to call this leader since its term began."""
        return self.now_s() - self.leader.started_s >= AGENTS_RETURN_S

    def is_evacuated(self, worker: WorkerSession) -> bool:
        """Returns whether nothing may be started on a worker, by an operator's order."""
        return worker.offer.data_centre in self.leader.state.evacuations.active

    def handle_sync(self, call: SyncWorker) -> WorkerSession | None:
        """Records the report of an agent and returns the session of its worker.

        Returns None for an outdated call, and while the agent has no worker or a lost one.
        """
        if call.offer is not None and has_successor(self, call.offer.worker_id):
            log.info("late call ignored", worker=call.offer.worker_id, agent=call.agent_id)
            return None
        if not self.agent_incarnations.accept_call(call, self.now_s()):
            return None
        if call.ended_worker_id:
            self._add_ends(last_ends(self, call))
            end_worker(self, call.agent_id, call.ended_worker_id, call.ended_worker_cause)
        if call.offer is None:
            return None
        worker_id = call.offer.worker_id
        now_s = self.now_s()
        end_former_workers(self, call.agent_id, worker_id)
        self.admission.capacity.record(call.agent_id, call.offer, now_s)
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = self.workers[worker_id] = WorkerSession(call.agent_id, call.offer, now_s)
            pool, capacity = call.offer.pool, call.offer.capacity
            log.info(
                "worker joined", worker=worker_id, agent=call.agent_id, pool=pool, capacity=capacity
            )
        elif call.offer.is_draining and not worker.offer.is_draining:
            log.info("worker drains", worker=worker_id, remaining_s=call.offer.remaining_s)
        if worker.is_lost:
            return None
        ends = worker.update(call, now_s)
        if any(self._is_refusal(placed.end) for placed in ends):
            worker.record_refusal(now_s)
        if self.speed_observer is not None:
            self.speed_observer.observe(worker, ends, now_s)
        self._add_ends(ends)
        self.wake.set()
        return worker

    def orders_for(self, worker: WorkerSession) -> WorkerOrders:
        """Returns the lease, acknowledgements, starts and stops for the agent of a worker."""
        return build_orders(self, worker)

    def is_wanted(self, run: TaskRun) -> bool:
        """Returns whether a run that may exist should continue."""
        graph = self.graphs.get(run.task.graph_id)
        if graph is None or run in self.revoked_runs or graph.is_cancelled or graph.failure:
            return False
        task = run.task
        progress = graph.tasks.get(task.key)
        if progress is None or progress.run != run.run:
            return False
        step = graph.graph.steps[task.step]
        if not step.is_gang or progress.is_done:
            return True
        return graph.is_gang_complete(task, run.run)

    def apply_committed_ends(self, ends: list[PlacedEnd]) -> None:
        """Removes the runs whose ends are durable and acknowledges these ends to their agents."""
        by_worker: dict[str, list[PlacedEnd]] = {}
        for placed in ends:
            by_worker.setdefault(placed.worker_id, []).append(placed)
            self.revoked_runs.discard(placed.end.run)
            self.unstored_ends.discard((placed.worker_id, placed.end.run))
            self.ordered_runs.get(placed.worker_id, {}).pop(placed.end.run, None)
        for worker_id, worker_ends in by_worker.items():
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.record_committed(worker_ends)

    def find_lost_workers(self) -> list[str]:
        """Returns the workers whose leases have certainly expired or that were replaced."""
        lost = []
        for worker_id in {*self.ordered_runs, *self.workers}:
            if worker_id in self.replaced_workers:
                lost.append(worker_id)
                continue
            if self.silence_s(worker_id) >= self.leases.expiry_s:
                lost.append(worker_id)
        return lost

    def silence_s(self, worker_id: str) -> float:
        """Returns for how long, in seconds, a worker's lease has certainly not been renewed."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            return self.now_s() - worker.last_reply_s
        led_s = self.now_s() - self.leader.started_s
        return led_s + self.silence_credits_s.get(worker_id, 0.0)

    def has_silence(self, worker_id: str) -> bool:
        """Returns whether a silence of a worker is recorded or may still be committed."""
        is_recorded = worker_id in self.leader.state.graphs.silences
        return is_recorded or self.proposed_silences.find(worker_id) > 0

    def remove_worker(self, worker_id: str) -> None:
        """Removes a worker after the ends of its runs are durable or proposed.

        A start that was committed in the meantime, too late to be among these ends, is kept.
        """
        self.workers.pop(worker_id, None)
        self.replaced_workers.discard(worker_id)
        for run, ordered_s in self.ordered_runs.pop(worker_id, {}).items():
            if (worker_id, run) not in self.unstored_ends and is_recorded(self, run, worker_id):
                self.ordered_runs.setdefault(worker_id, {})[run] = ordered_s
        if self.speed_observer is not None:
            self.speed_observer.remove_worker(worker_id)

    def _add_ends(self, ends: list[PlacedEnd]) -> None:
        if ends:
            self.new_ends += ends
            self.unstored_ends.update((placed.worker_id, placed.end.run) for placed in ends)
            self.ends_arrived.set()

    def _is_refusal(self, end: RunEnd) -> bool:
        """Returns whether a start was not carried out although the run is still wanted."""
        return end.outcome is RunOutcome.CLEARED and self.is_wanted(end.run)
