"""Runs one fault case under load and counts violations."""

import asyncio
import contextlib
import math
import tempfile
from pathlib import Path

from cicadatray.internal.bench.deployment.journal_check import (
    check_endpoints,
    count_double_grants,
    count_partial_gangs,
    read_worker_events,
)
from cicadatray.internal.bench.fault_runs.case_registry import fault_cases
from cicadatray.internal.bench.fault_runs.case_report import CaseReport
from cicadatray.internal.bench.fault_runs.fault_run import FaultRun
from cicadatray.internal.bench.request_load import (
    count_false_not_run,
    count_requests,
    count_wrong_answers,
)
from cicadatray.internal.standins.journal import read_journal

WARM_UP_S = 1.5
CASE_TIMEOUT_S = 180.0
LEAVING_GRACE_S = 3.0
MIN_IN_PROGRESS_S = 0.02
PLANNED_PREFIX = "planned_"


async def run_case(name: str, folder: Path | None = None) -> CaseReport:
    """Runs a case in a new deployment; an error of the run itself goes into the report."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            path = stack.enter_context(tempfile.TemporaryDirectory(prefix="cicadatray-"))
            folder = Path(path)
        run = FaultRun(folder)
        report = CaseReport(name)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                await _run_under_load(run, name)
                exit_codes = await run.tear_down()
                failed = [
                    f"{process} exited with {code}"
                    for process, code in exit_codes.items()
                    if code > 0
                ]
                report.error = "; ".join(failed)
        except Exception as error:
            report.error = f"{type(error).__name__}: {error}"
        finally:
            # Called without a thread, so that an interrupted run leaves no process running.
            run.deployment.kill()
        _fill_report(run, report)
        return report


async def _run_under_load(run: FaultRun, name: str) -> None:
    await run.set_up()
    watching = asyncio.create_task(run.watch.run())
    loading = asyncio.create_task(run.run_load())
    try:
        await asyncio.sleep(WARM_UP_S)
        await fault_cases[name](run)
        await loading
    finally:
        watching.cancel()
        loading.cancel()
        await asyncio.gather(watching, loading, return_exceptions=True)


def _fill_report(run: FaultRun, report: CaseReport) -> None:
    findings = check_endpoints(run.deployment.journal_paths("endpoint"))
    sent = run.request_load.sent + run.probes.sent
    tally = count_requests(sent, findings)
    report.lost = tally.lost + len(run.job_load.submitted) - len(run.job_load.ended)
    report.duplicated = tally.duplicated
    report.completed = tally.completed
    report.unknown = tally.unknown
    report.not_run = tally.not_run
    report.false_not_run = count_false_not_run(sent, findings)
    report.wrong_answers = count_wrong_answers(sent)
    report.slots_exceeded = findings.slots_exceeded
    report.reverted = run.watch.reverted
    report.recovery_s = run.recovery_s
    if report.case.startswith(PLANNED_PREFIX):
        report.interrupted = tally.unknown + _count_interrupted(run)
    _count_gang_violations(run, report)
    report.work_after_leaving = _count_work_after_leaving(run)


def _count_interrupted(run: FaultRun) -> int:
    """Counts sends that were lost while their requests were in progress.

    A send that is lost at once used a keep-alive connection that the other side had already closed.
    """
    paths = run.deployment.journal_paths("endpoint")
    events = [event for path in paths for event in read_journal(path)]
    started = {event.subject: event.at_s for event in events if event.event == "started"}
    return sum(
        1
        for broken in run.request_load.caller.broken_sends
        if broken.in_flight_s > MIN_IN_PROGRESS_S
        or started.get(broken.subject, math.inf) < broken.at_s
    )


def _count_gang_violations(run: FaultRun, report: CaseReport) -> None:
    events = read_worker_events(run.deployment.journal_paths("worker"))
    sizes = {job.job_id: job.accelerators for job in run.job_load.submitted}
    report.partial_gangs = count_partial_gangs(events, sizes)
    report.double_grants = count_double_grants(events, run.deployment.plan.accelerators)
    report.lost += sum(1 for job in run.job_load.ended if job.state != "completed")


def _count_work_after_leaving(run: FaultRun) -> int:
    if not run.leaving_endpoint:
        return 0
    journal = run.deployment.folder / "journals" / f"{run.leaving_endpoint}.jsonl"
    limit_s = run.leaving_at_s + LEAVING_GRACE_S
    events = read_journal(journal)
    return sum(1 for event in events if event.event == "started" and event.at_s > limit_s)
