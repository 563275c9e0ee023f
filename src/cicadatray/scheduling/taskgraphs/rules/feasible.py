"""Admission of the jobs that the known workers of their pool could hold when empty."""

from collections import Counter
from collections.abc import Hashable

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.rules.admission_rule import Refusal, admission_rules
from cicadatray.scheduling.taskgraphs.rules.admission_view import AdmissionView
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph


@admission_rules.register("feasible")
def refuse_infeasible(graph: TaskGraph, view: AdmissionView) -> Refusal | None:
    """Refuses a job with a task or a gang that the pool could not hold even if it were empty.

    Nothing is refused while no worker is known, and a step is not judged while no worker has its
    label: such workers may still come, and their capacity is unknown. Racks and data do not count
    either, since work runs elsewhere once it has waited for them.

    No job is refused for being hopelessly late. The view has neither the ends of running work nor
    the rank of the job among the waiting ones, estimates are off by a factor of 1.6 and urgent jobs
    displace others, so that a time at which capacity is free for this job would be a guess.
    """
    capacities_by_label: dict[str, Counter[Resources]] = {}
    judged: set[Hashable] = set()
    for number, step in enumerate(graph.steps):
        label = step.required_label
        if label not in capacities_by_label:
            capacities_by_label[label] = _usable_capacities(label, view)
        capacities = capacities_by_label[label]
        shape = (label, step.demand, step.is_gang and step.count, step.max_per_worker)
        if not capacities or shape in judged:
            continue
        judged.add(shape)
        reason = _infeasibility(step, capacities)
        if reason:
            return Refusal(f"step {number}: {reason}")
    return None


def _usable_capacities(label: str, view: AdmissionView) -> Counter[Resources]:
    """Returns how many workers of each capacity have a label; all of them without one."""
    return Counter(
        capacity
        for agent, capacity in view.largest_workers.items()
        if not label or label in view.labels.get(agent, frozenset())
    )


def _infeasibility(step: Step, capacities: Counter[Resources]) -> str:
    """Returns why workers of these capacities cannot hold the step, or an empty text."""
    room = {capacity: step.demand.fit_count(capacity) for capacity in capacities}
    if max(room.values()) == 0:
        return (
            f"a task needs {_describe(step.demand)}, which none of the {capacities.total()} "
            "workers known in its pool could hold"
        )
    if not step.is_gang:
        return ""
    limit = step.max_per_worker or step.count
    total = sum(min(tasks, limit) * capacities[capacity] for capacity, tasks in room.items())
    if total >= step.count:
        return ""
    return (
        f"a gang of {step.count} tasks that need {_describe(step.demand)} each; "
        f"all {capacities.total()} workers known in its pool together could hold {total}"
    )


def _describe(demand: Resources) -> str:
    return (
        f"{demand.cpu_millis / 1000:g} cores, {demand.memory_mb} MB and "
        f"{demand.accelerators} accelerators"
    )
