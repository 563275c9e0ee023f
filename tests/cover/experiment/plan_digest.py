"""Digests of all plans of an emulated load."""

from collections.abc import Sequence
from hashlib import sha256
from random import Random
from typing import Any

from cicadatray.internal.bench.graph_experiment.disturbance_draw import draw_disturbances
from cicadatray.internal.bench.graph_experiment.experiment_policy import (
    Running,
    Workers,
    experiment_policies,
)
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheets import SHEETS
from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity
from cover.taskgraphs.placement_helpers import (
    HALF,
    ONE,
    URGENT,
    make_running,
    make_waiting,
    make_workers,
)

DEMANDS = (ONE, HALF, URGENT, Resources(1_000, 1_000, 2), Resources(4_000, 500))


class PlanRecorder:
    """Adds the plan of each round to a digest. `rounds` counts them."""

    def __init__(self, policy: str) -> None:
        self.make_round = experiment_policies[policy]
        self.digest = sha256()
        self.rounds = 0

    def record(self, workers: Workers, running: Running, now_s: float) -> Any:
        """Returns a round whose plan is added to the digest."""
        return _RecordedRound(self, self.make_round(workers, running, now_s))


class _RecordedRound:
    def __init__(self, recorder: PlanRecorder, placement: Any) -> None:
        self.recorder = recorder
        self.placement = placement

    def run(self, waiting: Sequence[WaitingWork]) -> PlacementPlan:
        plan: PlacementPlan = self.placement.run(waiting)
        lines = [f"start {a.run.task} {a.run.run} {a.worker_id}" for a in plan.assignments]
        lines += [f"stop {run.task} {run.run} {graph}" for run, graph in plan.displaced.items()]
        lines += [f"wait {queue} {wait.reason.name}" for queue, wait in sorted(plan.waits.items())]
        self.recorder.digest.update("\n".join(lines).encode())
        self.recorder.rounds += 1
        return plan


def digest_plans(
    sheet_name: str, burst: float, seeds: range, policy: str = "present"
) -> PlanRecorder:
    """Plays a load for each seed and returns the recorder of all plans."""
    sheet = SHEETS[sheet_name]
    recorder = PlanRecorder(policy)
    for seed in seeds:
        jobs = draw_jobs(sheet, seed, burst)
        FleetEmulator(sheet, jobs, recorder.record, draw_disturbances(sheet, seed)).run()
    return recorder


def digest_random_rounds(policy: str, seeds: range) -> PlanRecorder:
    """Plans rounds over random workers, running and waiting work, and returns the recorder."""
    recorder = PlanRecorder(policy)
    for seed in seeds:
        random = Random(seed)
        workers = make_workers([random.randint(1, 4) for _ in range(random.randint(1, 3))])
        running = _draw_running(random, workers)
        recorder.record(workers, running, 0.0).run(_draw_waiting(random))
    return recorder


def _draw_running(random: Random, workers: list[WorkerCapacity]) -> list[RunningWork]:
    running = []
    for number in range(random.randint(0, 40)):
        demand = random.choice(DEMANDS)
        members = [random.choice(workers) for _ in range(random.randint(1, 4))]
        if any(demand.fit_count(member.free) < members.count(member) for member in members):
            continue
        work = make_running(
            workers,
            [(member.worker_id, demand) for member in members],
            f"runs{number}",
            random.randint(0, 2),
            elapsed_s=random.uniform(0.0, 20.0),
            percent=random.randint(-1, 99),
            is_checkpointable=random.random() < 0.5,
        )
        work.set_deadlines(random.uniform(-5.0, 20.0), random.uniform(20.0, 60.0))
        work.is_guaranteed = work.priority == 0 and random.random() < 0.5
        running.append(work)
    return running


def _draw_waiting(random: Random) -> list[WaitingWork]:
    waiting = []
    for number in range(random.randint(1, 8)):
        step = Step(
            random.randint(1, 10),
            random.choice(DEMANDS),
            random.uniform(1.0, 10.0),
            is_gang=random.random() < 0.5,
            is_rack_local=random.random() < 0.5,
            max_per_worker=random.choice((0, 0, 1, 2)),
        )
        works = make_waiting(step, random.randint(0, 2), -random.uniform(0.0, 5.0), f"job{number}")
        is_guaranteed = random.random() < 0.5
        for work in works:
            work.is_guaranteed = is_guaranteed and work.priority == 0
        waiting += works
    return waiting
