"""Jobs for tests that describe a pattern."""

import math

from cicadatray.internal.bench.graph_experiment.load_sheet import JobKind
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


def plan_job(
    kind: JobKind, name: str, arrival_s: float, count: int, accelerators: int, run_s: float
) -> PlannedJob:
    """Returns a job of one step whose estimate is right, of an account of its own."""
    demand = Resources(1_000 * accelerators, 1_000 * accelerators, accelerators)
    step = Step(count, demand, run_s, is_gang=kind.is_gang)
    policy = QueuePolicy(kind.name, "pool", kind.priority, 3, kind.stretch, kind.target_latency_s)
    graph = TaskGraph(name, f"account-{name}", policy, "", (step,))
    return PlannedJob(kind, graph, arrival_s, (run_s,) * count, math.inf, 0)
