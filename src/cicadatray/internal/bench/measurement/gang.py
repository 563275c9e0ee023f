"""One run of a gang on the fake fleet."""

from enum import Enum

from cicadatray.internal.bench.measurement.job_record import JobRecord
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.placement import Placement


class GangPhase(Enum):
    """The phase that the members of a gang are in."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Gang:
    """Tracks one run of a gang from its placement to its release.

    `outcome` is set while the gang stops; only the timer with the number `timer_number` is valid.
    """

    __slots__ = (
        "holds_capacity",
        "outcome",
        "phase",
        "placement",
        "record",
        "running_since_s",
        "timer_number",
    )

    def __init__(self, record: JobRecord, placement: Placement) -> None:
        self.record = record
        self.placement = placement
        self.phase = GangPhase.STARTING
        self.outcome: GangOutcome | None = None
        self.running_since_s = 0.0
        self.timer_number = 0
        self.holds_capacity = True

    def uses(self, worker_id: str) -> bool:
        """Returns whether a member runs on this worker."""
        return any(share.worker_id == worker_id for share in self.placement.shares)
