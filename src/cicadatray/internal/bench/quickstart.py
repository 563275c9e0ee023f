"""Runs requests and gangs on a small complete deployment and checks the outcome."""

import asyncio
import secrets
import sys
import tempfile
from pathlib import Path

import msgspec

from cicadatray.internal.bench.deployment.caller import Caller
from cicadatray.internal.bench.deployment.deployment_plan import DeploymentPlan
from cicadatray.internal.bench.deployment.journal_check import (
    check_endpoints,
    count_double_grants,
    count_partial_gangs,
    read_worker_events,
)
from cicadatray.internal.bench.deployment.local_deployment import LocalDeployment
from cicadatray.internal.bench.deployment.operator import Operator
from cicadatray.internal.bench.job_load import JobLoad, SubmittedJob
from cicadatray.internal.bench.request_load import (
    RequestLoad,
    count_false_not_run,
    count_requests,
    count_wrong_answers,
)
from cicadatray.internal.bench.tally import QuickstartReport, Tally
from cicadatray.internal.standins.journal import JournalEvent
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.shape import Scope, Shape

REQUESTS_PER_ACCOUNT = 60
REQUEST_WORK_S = 0.05
REQUEST_CONCURRENCY = 16
JOB_TIMEOUT_S = 60.0
LENT_RUN_S = 20.0
SHORT_RUN_S = 1.0
START_POLL_S = 0.05
OWNER = "acueducto"
BORROWER = "affiche"


class Quickstart:
    """Runs requests and jobs on a running deployment."""

    __slots__ = ("credentials", "deployment", "job_loads", "reclaim_s", "request_loads")

    def __init__(self, deployment: LocalDeployment) -> None:
        self.deployment = deployment
        self.credentials = {name: secrets.token_hex(16) for name in (OWNER, BORROWER)}
        urls = deployment.entry_urls()
        callers = {name: Caller(urls, value) for name, value in self.credentials.items()}
        self.job_loads = {name: JobLoad(caller) for name, caller in callers.items()}
        service = deployment.plan.service
        self.request_loads = {
            name: RequestLoad(caller, service, name, REQUEST_CONCURRENCY)
            for name, caller in callers.items()
        }
        self.reclaim_s: float | None = None

    async def run(self) -> QuickstartReport:
        """Configures the deployment, runs all requests and jobs, and returns the report."""
        operator = Operator(self.deployment)
        await operator.wait_until_ready()
        await operator.set_accounts(self.credentials)
        await operator.set_inventory()
        version = await operator.set_rules(self._rules())
        await operator.wait_until_in_effect(version)
        await asyncio.gather(self._run_requests(), self._run_jobs())
        return self._report()

    def _rules(self) -> Rules:
        guarantee = Guarantee(OWNER, Shape(8, Scope.WORKER), count=2)
        return Rules("compact", Shape(16, Scope.RACK), guarantees=(guarantee,))

    async def _run_requests(self) -> None:
        runs = [
            load.run(REQUESTS_PER_ACCOUNT, REQUEST_WORK_S) for load in self.request_loads.values()
        ]
        await asyncio.gather(*runs)

    async def _run_jobs(self) -> None:
        """Fills all workers with jobs of the borrower, then claims the owner's guarantee."""
        borrower, owner = self.job_loads[BORROWER], self.job_loads[OWNER]
        lent = [
            await borrower.submit(f"lent-{number}", 8, Scope.WORKER, LENT_RUN_S)
            for number in range(self.deployment.plan.workers)
        ]
        await self._wait_for_start(lent[0])
        claimed_at_s = asyncio.get_running_loop().time()
        urgent = await owner.submit("claim", 8, Scope.WORKER, SHORT_RUN_S, urgent=True)
        started_at_s = await self._wait_for_start(urgent)
        if started_at_s is not None:
            self.reclaim_s = round(started_at_s - claimed_at_s, 3)
        gang = await owner.submit("gang", 16, Scope.RACK, SHORT_RUN_S)
        submitted = [(borrower, job) for job in lent] + [(owner, urgent), (owner, gang)]
        await asyncio.gather(*(load.wait(job, JOB_TIMEOUT_S) for load, job in submitted))

    async def _wait_for_start(self, job: SubmittedJob) -> float | None:
        """Returns the start time of a job's last task, or None if it has not started in time.

        Journals and the event loop use the same clock.
        """
        deadline_s = asyncio.get_running_loop().time() + JOB_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline_s:
            started = [
                journal_event
                for journal_event in self._events()
                if journal_event.event == "started" and journal_event.subject == job.job_id
            ]
            if sum(event.count for event in started) >= job.accelerators:
                return started[-1].at_s
            await asyncio.sleep(START_POLL_S)
        return None

    def _events(self) -> list[JournalEvent]:
        return read_worker_events(self.deployment.journal_paths("worker"))

    def _report(self) -> QuickstartReport:
        findings = check_endpoints(self.deployment.journal_paths("endpoint"))
        sent = [request for load in self.request_loads.values() for request in load.sent]
        jobs = [job for load in self.job_loads.values() for job in load.submitted]
        sizes = {job.job_id: job.accelerators for job in jobs}
        events = self._events()
        return QuickstartReport(
            requests=count_requests(sent, findings),
            jobs=self._count_jobs(),
            partial_gangs=count_partial_gangs(events, sizes),
            reclaim_s=self.reclaim_s,
            processes=len(self.deployment.handles),
            false_not_run=count_false_not_run(sent, findings),
            slots_exceeded=findings.slots_exceeded,
            double_grants=count_double_grants(events, self.deployment.plan.accelerators),
            wrong_answers=count_wrong_answers(sent),
        )

    def _count_jobs(self) -> Tally:
        tally = Tally()
        for load in self.job_loads.values():
            tally.submitted += len(load.submitted)
            tally.completed += sum(1 for job in load.ended if job.state == "completed")
            tally.not_run += sum(1 for job in load.ended if job.state != "completed")
            tally.lost += len(load.submitted) - len(load.ended)
        return tally


def faults_of(report: QuickstartReport) -> list[str]:
    """Returns one line for each violation in the report."""
    counts = {
        "requests lost": report.requests.lost,
        "requests duplicated": report.requests.duplicated,
        "requests unaccounted for": report.requests.unaccounted(),
        "jobs lost": report.jobs.lost,
        "jobs not run": report.jobs.not_run,
        "jobs unaccounted for": report.jobs.unaccounted(),
        "partial gangs": report.partial_gangs,
        "false not run": report.false_not_run,
        "slots exceeded": report.slots_exceeded,
        "double grants": report.double_grants,
        "wrong answers": report.wrong_answers,
        "guarantee not reclaimed": int(report.reclaim_s is None),
    }
    return [f"{name}: {count}" for name, count in counts.items() if count]


def run_quickstart(folder: Path) -> int:
    """Runs the deployment in a folder and returns the exit code."""
    deployment = LocalDeployment(folder, DeploymentPlan())
    try:
        deployment.start()
        report = asyncio.run(Quickstart(deployment).run())
        exit_codes = deployment.stop()
    finally:
        deployment.kill()
    faults = faults_of(report)
    faults += [f"{name} exited with {code}" for name, code in exit_codes.items() if code]
    for fault in faults:
        print(f"fault: {fault}")
    print(msgspec.json.encode(report).decode())
    return 1 if faults else 0


def main() -> None:
    """Entry point of `./build.sh quickstart`; an argument names the folder to use and keep."""
    if len(sys.argv) > 1:
        sys.exit(run_quickstart(Path(sys.argv[1])))
    with tempfile.TemporaryDirectory(prefix="cicadatray-") as folder:
        sys.exit(run_quickstart(Path(folder)))


if __name__ == "__main__":
    main()
