"""The interface between the scheduler and its policies."""

from cicadatray.scheduling.decision import Decision
from cicadatray.scheduling.explanation import Explanation
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.scheduling_state import SchedulingState
from cicadatray.scheduling.unit import Unit


class SchedulingPolicy:
    """Decides placements; the scheduler reports every event after it has updated the state."""

    __slots__ = ("state",)

    def __init__(self, state: SchedulingState) -> None:
        self.state = state

    def decide(self, now_s: float) -> list[Decision]:
        """Returns the decisions of this instant and applies them to the state."""
        raise NotImplementedError

    def explain(self, job: Job, now_s: float) -> Explanation:
        """Says why a known job waits or runs."""
        raise NotImplementedError

    def guarantees_at_risk(self) -> list[GuaranteeBlock]:
        """Returns the blocks that cannot be placed together with the others."""
        return []

    def block_of(self, job: Job) -> GuaranteeBlock | None:
        """Returns the block of its account's guarantee that the job runs in."""
        return None

    def submitted(self, job: Job, now_s: float) -> None:
        """A job was admitted."""

    def restored(self, job: Job, now_s: float) -> None:
        """A gang that already ran was added after a change of leader."""

    def cancelled(self, job: Job, now_s: float) -> None:
        """The caller withdrew a job that may still hold capacity."""

    def started(self, job: Job, now_s: float) -> None:
        """All tasks of the gang run."""

    def releasing(self, job: Job, outcome: GangOutcome, now_s: float) -> None:
        """The gang of the job is about to give its placement back."""

    def requeued(self, job: Job, now_s: float) -> None:
        """The job waits again."""

    def worker_lost(self, worker: Unit, now_s: float) -> None:
        """A worker went out of service."""

    def worker_returned(self, worker: Unit, now_s: float) -> None:
        """A worker is back in service."""

    def task_failed(self, job: Job, worker: Unit, now_s: float) -> None:
        """A task of the job failed on this worker."""

    def usage_reported(self, job: Job, run_s: float, now_s: float) -> None:
        """The gang had run for this long when the report was made."""

    def reconfigured(self, now_s: float) -> None:
        """The inventory or the rules were replaced."""
