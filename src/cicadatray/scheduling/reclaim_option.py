"""A way to free capacity for an urgent job."""

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.placement import Placement


class ReclaimOption:
    """A placement inside one unit and the jobs that must stop for it.

    `cost` ranks options, in accelerator-seconds of work. `is_ready` is set when the placement is
    idle now.
    """

    __slots__ = ("cost", "is_ready", "placement", "victims")

    def __init__(
        self, placement: Placement, victims: list[Job], cost: float, is_ready: bool
    ) -> None:
        self.placement = placement
        self.victims = victims
        self.cost = cost
        self.is_ready = is_ready
