"""Work that gives way to urgent work."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.worker_room import WorkerCapacity


class Displacement:
    """The work to stop, what that throws away, and the workers that then have room."""

    __slots__ = ("chosen", "loss", "victims")

    def __init__(self, victims: list[RunningWork], chosen: list[WorkerCapacity]) -> None:
        self.victims = victims
        self.chosen = chosen
        self.loss = total_loss(victims, set())


def total_loss(victims: Sequence[RunningWork], lost_graphs: set[str]) -> float:
    """Returns the work thrown away and what jobs lose that are not among `lost_graphs` already."""
    lost: dict[str, float] = {}
    for victim in victims:
        if victim.graph_id not in lost_graphs:
            lost[victim.graph_id] = max(lost.get(victim.graph_id, 0.0), victim.lost_value())
    return sum(victim.loss() for victim in victims) + sum(lost.values())
