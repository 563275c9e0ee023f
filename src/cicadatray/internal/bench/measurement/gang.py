"""One run of a gang on the fake fleet."""

from enum import Enum

from cicadatray.internal.bench.measurement.job_record import JobRecord
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.placement import Placement


class GangPhase(Enum):
    """What the members of a gang do."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Gang:
    """`outcome` is set while the gang stops; only the timer with the present number is valid."""

    __slots__ = ("holds_capacity", "outcome", "phase", "placement", "record", "running_s", "timer")

    def __init__(self, record: JobRecord, placement: Placement) -> None:
        self.record = record
        self.placement = placement
        self.phase = GangPhase.STARTING
        self.outcome: GangOutcome | None = None
        self.running_s = 0.0
        self.timer = 0
        self.holds_capacity = True

    def uses(self, worker_id: str) -> bool:
        """Says whether a member runs on this worker."""
        return any(share.worker_id == worker_id for share in self.placement.shares)
