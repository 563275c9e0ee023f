"""Tells workers that fail every task apart from jobs that fail on every worker."""

from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.job import Job
from cicadatray.scheduling.shape import Scope
from cicadatray.scheduling.unit import Unit

JOB_RACKS = 3  # a job is at fault once it failed in so many racks that are not quarantined
JOB_ATTEMPTS = 3
JOB_ATTEMPTS_ANYWHERE = 10  # for a job that fits in fewer racks
WORKER_EVIDENCE = 2  # distinct accounts, or jobs that ran elsewhere, that failed on a worker
CONFIRMED_RUN_S = 60.0  # a job that ran this long elsewhere was not at fault before
QUARANTINE_S = 60.0
QUARANTINE_LONGEST_S = 600.0
RETRY_DELAY_S = 5.0
RETRY_DELAY_LONGEST_S = 300.0


class FaultTracker:
    """Collects failed tasks since the last success of each worker.

    Failures of one account count once per worker until one of its jobs has run elsewhere, so that
    a hundred faulty jobs of one account quarantine nothing. Failures on quarantined workers do not
    count against jobs, so that a faulty rack does not look like a hundred faulty jobs. Nor do those
    on workers where no job has ended well yet or where other accounts fail too.
    """

    __slots__ = ("accounts", "confirmed", "fleet", "probation", "proven", "strikes", "until_s")

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.accounts: dict[str, dict[str, None]] = {}
        self.confirmed: dict[str, dict[str, None]] = {}
        self.until_s: dict[str, float] = {}
        self.probation: dict[str, str] = {}
        self.strikes: dict[str, int] = {}
        self.proven: set[str] = set()

    def failed(self, job: Job, worker: Unit, now_s: float) -> bool:
        """Notes a failed task; returns whether the worker must be quarantined now."""
        if self.probation.get(worker.key) == job.request.job_id:
            del self.probation[worker.key]
            self._quarantine(worker, now_s)
            return False
        self.accounts.setdefault(worker.key, {})[job.request.client_account] = None
        return self._judge(worker, now_s)

    def succeeded(self, job: Job, now_s: float) -> tuple[list[Unit], list[Unit]]:
        """Notes a run that ended well or lasts; returns workers to quarantine and to trust."""
        guilty = []
        for worker_id in sorted(job.failed_workers):
            worker = self.fleet.workers.get(worker_id)
            if worker is None or job.uses(worker_id):
                continue
            self.confirmed.setdefault(worker_id, {})[job.request.job_id] = None
            if self._judge(worker, now_s):
                guilty.append(worker)
        trusted = []
        for share in job.placement.shares if job.placement is not None else ():
            self.accounts.pop(share.worker_id, None)
            self.confirmed.pop(share.worker_id, None)
            self.strikes.pop(share.worker_id, None)
            self.proven.add(share.worker_id)
            if self.probation.pop(share.worker_id, None) is not None:
                self.until_s.pop(share.worker_id, None)
                trusted.append(self.fleet.workers[share.worker_id])
        return guilty, trusted

    def verdict(self, job: Job) -> str | None:
        """Returns why a job is at fault, or None while other causes are possible."""
        tried = [a for a in job.failures if not any(w in self.until_s for w in a)]
        counted = [w for attempt in tried for w in attempt if self._blames(w, job)]
        known = [self.fleet.workers[w] for w in counted if w in self.fleet.workers]
        racks = {worker.around(Scope.RACK).key for worker in known}
        enough = len(racks) >= min(JOB_RACKS, len(self.fleet.racks))
        if len(tried) >= JOB_ATTEMPTS_ANYWHERE or (len(tried) >= JOB_ATTEMPTS and enough):
            return (
                f"its tasks failed in {len(tried)} attempts, on {len(set(counted))} workers "
                f"in {len(racks)} racks where jobs of others end well"
            )
        return None

    def retry_delay_s(self, job: Job) -> float:
        """Returns how long a job waits after a failure."""
        exponent = min(10, max(0, len(job.failures) - 1))
        return min(RETRY_DELAY_LONGEST_S, RETRY_DELAY_S * float(2**exponent))

    def due_for_probation(self, now_s: float) -> list[Unit]:
        """Returns quarantined workers that may be tried with one small job."""
        due = [w for w, until_s in self.until_s.items() if until_s <= now_s]
        ready = [self.fleet.workers[w] for w in due if w not in self.probation]
        return [worker for worker in ready if not worker.lost and worker.total > worker.used]

    def ended_without_verdict(self, job: Job) -> None:
        """A trial run ended for another reason; the worker may be tried again."""
        for worker_id, job_id in list(self.probation.items()):
            if job_id == job.request.job_id:
                del self.probation[worker_id]

    def _judge(self, worker: Unit, now_s: float) -> bool:
        evidence = len(self.accounts.get(worker.key, {}))
        evidence = max(evidence, len(self.confirmed.get(worker.key, {})))
        needed = 1 if worker.key in self.strikes else WORKER_EVIDENCE
        if evidence < needed or worker.key in self.until_s:
            return False
        self._quarantine(worker, now_s)
        return True

    def _quarantine(self, worker: Unit, now_s: float) -> None:
        strikes = self.strikes.get(worker.key, 0)
        self.strikes[worker.key] = strikes + 1
        lasts_s = min(QUARANTINE_LONGEST_S, QUARANTINE_S * float(2 ** min(strikes, 10)))
        self.until_s[worker.key] = now_s + lasts_s
        self.accounts.pop(worker.key, None)
        self.proven.discard(worker.key)

    def _blames(self, worker_id: str, job: Job) -> bool:
        """Whether a failure on this worker counts against the job."""
        others = self.accounts.get(worker_id, {}).keys() - {job.request.client_account}
        return worker_id in self.proven and not others
