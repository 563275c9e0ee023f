"""The interface between the scheduler and its policies."""

from cicadatray.scheduling.decision import Decision
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.unit import Unit


class SchedulingPolicy:
    """Base class of the policies, which decide placements.

    The scheduler calls the method of each event after it has updated the state.
    """

    __slots__ = ("state",)

    def __init__(self, state: SchedulingState) -> None:
        self.state = state

    def decide(self, now_s: float) -> list[Decision]:
        """Returns the decisions of this moment, which are already applied to the state."""
        raise NotImplementedError

    def explain(self, job: Job, now_s: float) -> Explanation:
        """Returns the reason why a job waits or runs."""
        raise NotImplementedError

    def guarantees_at_risk(self) -> list[GuaranteeBlock]:
        """Returns the blocks that cannot be placed together with the others."""
        return []

    def block_of(self, job: Job) -> GuaranteeBlock | None:
        """Returns the block of its account's guarantee that the job runs in."""
        return None

    def submitted(self, job: Job, now_s: float) -> None:
        """Handles the admission of a job."""

    def restored(self, job: Job, now_s: float) -> None:
        """Handles the addition of a running gang after a change of the leader."""

    def cancelled(self, job: Job, now_s: float) -> None:
        """Handles the cancellation of a job, which may still hold capacity."""

    def started(self, job: Job, now_s: float) -> None:
        """Handles the start of the gang: all its tasks run."""

    def releasing(self, job: Job, outcome: GangOutcome, now_s: float) -> None:
        """Handles the end of the gang, before its placement is released."""

    def requeued(self, job: Job, now_s: float) -> None:
        """Handles the return of the job to the waiting jobs."""

    def worker_lost(self, worker: Unit, now_s: float) -> None:
        """Handles the loss of a worker."""

    def worker_returned(self, worker: Unit, now_s: float) -> None:
        """Handles the return of a worker to service."""

    def evacuation_changed(self, workers: list[Unit], now_s: float) -> None:
        """Handles the evacuation or return of the data centres of these workers."""

    def task_failed(self, job: Job, worker: Unit, now_s: float) -> None:
        """Handles the failure of a task of the job on this worker."""

    def usage_reported(self, job: Job, run_s: float, now_s: float) -> None:
        """Handles a report of how long the gang had run, in seconds."""

    def reconfigured(self, now_s: float) -> None:
        """Handles the replacement of the inventory or the rules."""
