"""Generates the jobs of one run from a seed."""

import math
from random import Random

from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind, LoadSheet
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.internal.bench.graph_experiment.varied_job import draw_varied_job
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

BURST_FROM_S = 20.0
BURST_UNTIL_S = 30.0
# Estimates are rough: true durations spread around them by this standard deviation of the log.
ESTIMATE_SIGMA = 0.3
CANCELLED_SHARE = 0.2
FAILED_SHARE = 0.05
CHECKPOINTABLE_SHARE = 0.5
ACCOUNTS = 4
MEMORY_MB_PER_ACCELERATOR = 8_000
ACCELERATOR_SIZES = (1, 2, 4, 8)


def draw_jobs(sheet: LoadSheet, seed: int, burst: float) -> list[PlannedJob]:
    """Returns the jobs in order of arrival; `burst` multiplies the rates for ten seconds."""
    random = Random(seed)
    jobs: list[PlannedJob] = []
    for kind in sheet.kinds:
        now_s = random.expovariate(kind.rate_per_s)
        while now_s < sheet.arrivals_end_s:
            graph_id = f"{kind.name}-{len(jobs)}"
            if kind.variation is None:
                jobs.append(_draw_job(kind, random, now_s, graph_id))
            else:
                jobs.append(draw_varied_job(sheet, kind, kind.variation, random, now_s, graph_id))
            is_burst = BURST_FROM_S <= now_s < BURST_UNTIL_S
            rate_per_s = kind.rate_per_s * sheet.wave.factor(now_s)
            now_s += random.expovariate(rate_per_s * (burst if is_burst else 1.0))
    return sorted(jobs, key=lambda job: job.arrival_s)


def _draw_job(kind: JobKind, random: Random, arrival_s: float, graph_id: str) -> PlannedJob:
    sizes = [size for size in ACCELERATOR_SIZES if size <= kind.most_accelerators]
    accelerators = random.choice(sizes)
    memory_mb = MEMORY_MB_PER_ACCELERATOR * accelerators
    step = Step(
        kind.tasks,
        Resources(kind.cpu_millis, memory_mb, accelerators),
        kind.estimate_s,
        is_gang=kind.is_gang,
        is_checkpointable=random.random() < CHECKPOINTABLE_SHARE,
    )
    policy = QueuePolicy(kind.name, "pool", kind.priority, 3, kind.stretch, kind.target_latency_s)
    account = f"account-{random.randrange(ACCOUNTS)}"
    factors = [math.exp(random.gauss(0.0, ESTIMATE_SIGMA)) for _ in range(kind.tasks)]
    if kind.is_gang:
        factors = [factors[0]] * kind.tasks
    durations_s = tuple(kind.estimate_s * factor for factor in factors)
    is_cancelled = random.random() < CANCELLED_SHARE
    cancelled_s = arrival_s + random.uniform(0.0, durations_s[0]) if is_cancelled else math.inf
    failures = 1 if random.random() < FAILED_SHARE else 0
    graph = TaskGraph(graph_id, account, policy, "", (step,))
    return PlannedJob(kind, graph, arrival_s, durations_s, cancelled_s, failures)
