"""The result of a displacement search."""

from collections.abc import Callable, Sequence

from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# Returns the cost of stopping one work and the value that its job loses, in core-seconds.
CostsOf = Callable[[RunningWork], tuple[float, float]]


def stop_costs(victim: RunningWork) -> tuple[float, float]:
    """Returns the cost of stopping one work and the value that its job loses, in core-seconds."""
    return victim.displacement_cost(), victim.lost_job_value()


def total_cost(
    victims: Sequence[RunningWork],
    counted_graphs: set[str],
    costs_of: CostsOf = stop_costs,
) -> float:
    """Returns the cost of stopping `victims`, in core-seconds.

    It is the work that is lost, plus the value that their jobs lose by ending later. Jobs in
    `counted_graphs` have had their lost value counted already. `costs_of` may look up what
    `stop_costs` has returned before.
    """
    lost: dict[str, float] = {}
    stopped = 0.0
    for victim in victims:
        stop_cost, lost_value = costs_of(victim)
        stopped += stop_cost
        if victim.graph_id not in counted_graphs:
            lost[victim.graph_id] = max(lost.get(victim.graph_id, 0.0), lost_value)
    return stopped + sum(lost.values())


class Displacement:
    """The running work to stop for urgent work.

    `cost` is the cost of stopping it and `value` what the urgent job gains by it, both in
    core-seconds; the victim rule sets `value`. `workers` names one worker for each task of the
    urgent work.
    """

    __slots__ = ("cost", "value", "victims", "workers")

    def __init__(
        self,
        victims: list[RunningWork],
        workers: list[WorkerCapacity],
        costs_of: CostsOf = stop_costs,
    ) -> None:
        self.victims = victims
        self.workers = workers
        self.cost = total_cost(victims, set(), costs_of)
        self.value = 0.0
