"""Draws jobs of a kind that differ in width, duration and number of steps."""

import math
from random import Random

from cicadatray.internal.bench.graph_experiment.job_variation import JobVariation
from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind, LoadSheet
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import ACCELERATOR_CORES
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

# The worth of a job consists of a fixed share and a share in proportion to its work, up to a limit.
FIXED_WORTH_SHARE = 0.3
MOST_WORTH_FACTOR = 4.0


def draw_varied_job(
    sheet: LoadSheet,
    kind: JobKind,
    variation: JobVariation,
    random: Random,
    arrival_s: float,
    graph_id: str,
) -> PlannedJob:
    """Returns a job whose steps all need the same resources for each task."""
    steps, durations_s = _draw_steps(sheet, kind, variation, random)
    accounts = list(sheet.accounts)
    account = random.choices(accounts, list(sheet.accounts.values()))[0]
    is_cancelled = random.random() < variation.cancelled_share
    cancelled_s = arrival_s + random.uniform(0.0, max(durations_s)) if is_cancelled else math.inf
    failures = 1 if random.random() < variation.failed_share else 0
    policy = QueuePolicy(kind.name, "pool", kind.priority, 3, kind.stretch, kind.target_latency_s)
    graph = TaskGraph(graph_id, account, policy, "", steps)
    work = sum(durations_s) * _cores(kind, steps[0].needs.accelerators)
    factor = FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * work / _mean_work(kind, variation)
    worth_factor = min(MOST_WORTH_FACTOR, factor)
    return PlannedJob(kind, graph, arrival_s, durations_s, cancelled_s, failures, worth_factor)


def _draw_steps(
    sheet: LoadSheet, kind: JobKind, variation: JobVariation, random: Random
) -> tuple[tuple[Step, ...], tuple[float, ...]]:
    """Returns the steps of a job, one after the other, and the true durations of its tasks."""
    accelerators = random.choice(variation.accelerator_sizes)
    needs = Resources(kind.cpu_millis, variation.memory_mb, accelerators)
    is_checkpointable = random.random() < variation.checkpointable_share
    may_be_rack_local = kind.is_gang and random.random() < variation.rack_local_share
    fitting_in_rack = sheet.workers_per_rack * needs.fit_count(sheet.capacity)
    steps: list[Step] = []
    durations_s: list[float] = []
    for number in range(2 if random.random() < variation.second_step_share else 1):
        count = _draw_count(kind, variation, random, accelerators)
        step_s = _draw_lognormal(random, kind.estimate_s, variation.duration_spread)
        # Loads without a tail draw the same jobs as before there were tails.
        if variation.tail_share and random.random() < variation.tail_share:
            step_s *= variation.tail_factor
        spread = 0.0 if kind.is_gang else variation.task_spread
        durations_s += [_draw_lognormal(random, step_s, spread) for _ in range(count)]
        step = Step(
            count,
            needs,
            step_s * math.exp(random.gauss(0.0, variation.estimate_spread)),
            depends_on=tuple(range(number)),
            is_checkpointable=is_checkpointable,
            is_gang=kind.is_gang,
            is_rack_local=may_be_rack_local and count <= fitting_in_rack,
        )
        steps.append(step)
    return tuple(steps), tuple(durations_s)


def _draw_count(kind: JobKind, variation: JobVariation, random: Random, accelerators: int) -> int:
    count = round(_draw_lognormal(random, variation.mean_tasks, variation.width_spread))
    most = variation.most_tasks
    if kind.is_gang:
        most = min(most, variation.most_gang_accelerators // accelerators)
    return max(1, min(most, count))


def _draw_lognormal(random: Random, mean: float, spread: float) -> float:
    """Returns a lognormal value with this mean and standard deviation of the log."""
    return mean * math.exp(random.gauss(-spread * spread / 2, spread))


def _cores(kind: JobKind, accelerators: float) -> float:
    return kind.cpu_millis / 1000 + ACCELERATOR_CORES * accelerators


def _mean_work(kind: JobKind, variation: JobVariation) -> float:
    """Returns the mean work of a job in core-seconds, without the limits of its size."""
    sizes = variation.accelerator_sizes
    steps = 1 + variation.second_step_share
    tasks = steps * variation.mean_tasks
    return tasks * kind.estimate_s * _cores(kind, sum(sizes) / len(sizes))
