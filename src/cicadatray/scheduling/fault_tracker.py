"""Attributes failed tasks to faulty workers or to faulty jobs."""

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

# A job is at fault once it has failed in this many attempts and racks outside quarantine, or in
# MAX_FAILED_ATTEMPTS attempts when it fits in fewer racks.
MIN_FAILED_RACKS = 3
MIN_FAILED_ATTEMPTS = 3
MAX_FAILED_ATTEMPTS = 10
# A worker is quarantined when this many accounts, or jobs that ran elsewhere, failed on it.
MIN_WORKER_EVIDENCE = 2
SUCCESSFUL_RUN_S = 60.0  # a job that ran this long elsewhere did not cause its earlier failures
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 600.0
RETRY_DELAY_S = 5.0
MAX_RETRY_DELAY_S = 300.0


class FaultTracker:
    """Collects the failed tasks of each worker since its last success.

    Failures of one account count once per worker until one of its jobs has run elsewhere, so that
    a hundred faulty jobs of one account quarantine nothing. Failures on quarantined workers do not
    count against jobs, so that a faulty rack does not look like a hundred faulty jobs. Neither do
    failures on workers where no job has succeeded yet or where other accounts fail too.

    By worker, `failing_accounts` holds the accounts whose tasks failed, `exonerated_jobs` the jobs
    that failed there and ran elsewhere, and `trial_jobs` the job that tries a worker again.
    `proven_workers` are those on which a job has succeeded since their last quarantine.
    """

    __slots__ = (
        "exonerated_jobs",
        "failing_accounts",
        "fleet",
        "proven_workers",
        "quarantine_counts",
        "quarantined_until_s",
        "trial_jobs",
    )

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.failing_accounts: dict[str, dict[str, None]] = {}
        self.exonerated_jobs: dict[str, dict[str, None]] = {}
        self.quarantined_until_s: dict[str, float] = {}
        self.trial_jobs: dict[str, str] = {}
        self.quarantine_counts: dict[str, int] = {}
        self.proven_workers: set[str] = set()

    def record_failure(self, job: Job, worker: Unit, now_s: float) -> bool:
        """Records a failed task and returns whether the worker must be quarantined now."""
        if self.trial_jobs.get(worker.key) == job.request.job_id:
            del self.trial_jobs[worker.key]
            self._quarantine(worker, now_s)
            return False
        self.failing_accounts.setdefault(worker.key, {})[job.request.client_account] = None
        return self._quarantine_if_faulty(worker, now_s)

    def record_success(self, job: Job, now_s: float) -> tuple[list[Unit], list[Unit]]:
        """Records a successful run; returns the workers to quarantine and those to release."""
        faulty = []
        for worker_id in sorted(job.failed_workers):
            worker = self.fleet.workers.get(worker_id)
            if worker is None or job.uses(worker_id):
                continue
            self.exonerated_jobs.setdefault(worker_id, {})[job.request.job_id] = None
            if self._quarantine_if_faulty(worker, now_s):
                faulty.append(worker)
        recovered = []
        for share in job.placement.shares if job.placement is not None else ():
            self.failing_accounts.pop(share.worker_id, None)
            self.exonerated_jobs.pop(share.worker_id, None)
            self.quarantine_counts.pop(share.worker_id, None)
            self.proven_workers.add(share.worker_id)
            if self.trial_jobs.pop(share.worker_id, None) is not None:
                self.quarantined_until_s.pop(share.worker_id, None)
                recovered.append(self.fleet.workers[share.worker_id])
        return faulty, recovered

    def failure_reason(self, job: Job) -> str | None:
        """Returns why the job itself is at fault, or None while other causes are possible."""
        counted_attempts = [
            a for a in job.failures if not any(w in self.quarantined_until_s for w in a)
        ]
        counted_workers = [
            w for attempt in counted_attempts for w in attempt if self._counts_against_job(w, job)
        ]
        present = [self.fleet.workers[w] for w in counted_workers if w in self.fleet.workers]
        racks = {worker.enclosing(Scope.RACK).key for worker in present}
        enough = len(racks) >= min(MIN_FAILED_RACKS, len(self.fleet.racks))
        if len(counted_attempts) >= MAX_FAILED_ATTEMPTS or (
            len(counted_attempts) >= MIN_FAILED_ATTEMPTS and enough
        ):
            return (
                f"its tasks failed in {len(counted_attempts)} attempts, "
                f"on {len(set(counted_workers))} workers "
                f"in {len(racks)} racks where jobs of other accounts succeed"
            )
        return None

    def retry_delay_s(self, job: Job) -> float:
        """Returns the exponential backoff of a job after its last failure."""
        exponent = min(10, max(0, len(job.failures) - 1))
        return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * float(2**exponent))

    def workers_due_for_trial(self, now_s: float) -> list[Unit]:
        """Returns workers with expired quarantine that may run one small job as a trial."""
        due = [w for w, until_s in self.quarantined_until_s.items() if until_s <= now_s]
        ready = [self.fleet.workers[w] for w in due if w not in self.trial_jobs]
        return [
            worker
            for worker in ready
            if not (worker.lost or worker.evacuated) and worker.installed > worker.allocated
        ]

    def end_trial(self, job: Job) -> None:
        """Ends a trial run without a result, so that the worker may be tried again."""
        for worker_id, job_id in list(self.trial_jobs.items()):
            if job_id == job.request.job_id:
                del self.trial_jobs[worker_id]

    def _quarantine_if_faulty(self, worker: Unit, now_s: float) -> bool:
        evidence = len(self.failing_accounts.get(worker.key, {}))
        evidence = max(evidence, len(self.exonerated_jobs.get(worker.key, {})))
        needed = 1 if worker.key in self.quarantine_counts else MIN_WORKER_EVIDENCE
        if evidence < needed or worker.key in self.quarantined_until_s:
            return False
        self._quarantine(worker, now_s)
        return True

    def _quarantine(self, worker: Unit, now_s: float) -> None:
        earlier_quarantines = self.quarantine_counts.get(worker.key, 0)
        self.quarantine_counts[worker.key] = earlier_quarantines + 1
        duration_s = min(MAX_QUARANTINE_S, QUARANTINE_S * float(2 ** min(earlier_quarantines, 10)))
        self.quarantined_until_s[worker.key] = now_s + duration_s
        self.failing_accounts.pop(worker.key, None)
        self.proven_workers.discard(worker.key)

    def _counts_against_job(self, worker_id: str, job: Job) -> bool:
        """Returns whether a failure on this worker counts against the job."""
        others = self.failing_accounts.get(worker_id, {}).keys() - {job.request.client_account}
        return worker_id in self.proven_workers and not others
