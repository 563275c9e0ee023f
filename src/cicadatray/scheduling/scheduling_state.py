"""The state that policies decide on: the fleet, the jobs and the rules."""

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.job import Job, JobState
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rules import Rules


class SchedulingState:
    """All jobs, with indexes of the waiting jobs and of the jobs on each worker."""

    __slots__ = ("fleet", "jobs", "jobs_by_worker", "next_sequence", "rules", "waiting")

    def __init__(self, inventory: Inventory, rules: Rules) -> None:
        self.fleet = Fleet(inventory)
        self.rules = rules
        self.jobs: dict[str, Job] = {}
        self.waiting: dict[str, Job] = {}
        self.jobs_by_worker: dict[str, dict[str, Job]] = {}
        self.next_sequence = 0

    def add(self, request: JobRequest) -> Job:
        """Adds a waiting job."""
        self.next_sequence += 1
        job = Job(request, self.next_sequence)
        self.jobs[request.job_id] = job
        self.waiting[request.job_id] = job
        return job

    def remove(self, job: Job) -> None:
        """Removes a job that holds no capacity."""
        self.jobs.pop(job.request.job_id, None)
        self.waiting.pop(job.request.job_id, None)

    def place(self, job: Job, placement: Placement, now_s: float) -> None:
        """Allocates a placement to a waiting job."""
        self.waiting.pop(job.request.job_id, None)
        job.state = JobState.STARTING
        job.earlier_waits_s = job.waited_s(now_s)
        job.placement = placement
        job.placed_s = now_s
        job.started_s = None
        job.task_failed = False
        job.unreachable = False
        self.fleet.occupy(placement)
        for share in placement.shares:
            self.jobs_by_worker.setdefault(share.worker_id, {})[job.request.job_id] = job

    def release(self, job: Job) -> None:
        """Releases the placement of a job."""
        assert job.placement is not None
        self.fleet.vacate(job.placement)
        for share in job.placement.shares:
            self.jobs_by_worker[share.worker_id].pop(job.request.job_id, None)
        job.placement = None

    def requeue(self, job: Job) -> None:
        """Returns a job to the waiting jobs; its arrival order is unchanged."""
        job.state = JobState.WAITING
        self.waiting[job.request.job_id] = job
