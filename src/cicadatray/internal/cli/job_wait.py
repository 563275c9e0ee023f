"""Waits for the end of a job."""

import asyncio
from typing import Any
from urllib.parse import quote

from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.output import Output
from cicadatray.internal.cli.session import Session

POLL_WAIT_S = 20.0  # an entry accepts at most 30 s
RESPONSE_MARGIN_S = 10.0
FINAL_STATES = ("completed", "failed", "cancelled")


class JobWait:
    """Polls a job with requests that the entry holds until the job ends or the wait is over."""

    __slots__ = ("job_id", "session")

    def __init__(self, session: Session, job_id: str) -> None:
        self.session = session
        self.job_id = job_id

    async def run(self, timeout_s: float | None) -> ExitCode:
        """Prints the job once it has ended or `timeout_s` has passed; returns the exit code."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s if timeout_s is not None else float("inf")
        job = await self._poll(0.0)
        while job.get("state") not in FINAL_STATES and loop.time() < deadline_s:
            job = await self._poll_with_progress(job, min(POLL_WAIT_S, deadline_s - loop.time()))
        print_job(self.session.output, job)
        if job.get("state") not in FINAL_STATES:
            return ExitCode.TIMED_OUT
        return ExitCode.OK if job.get("state") == "completed" else ExitCode.FAILED

    async def _poll_with_progress(self, job: dict[str, Any], wait_s: float) -> dict[str, Any]:
        reason = f" ({job['reason']})" if job.get("reason") else ""
        with self.session.output.show_progress(f"{self.job_id} is {job.get('state')}{reason}"):
            return await self._poll(wait_s)

    async def _poll(self, wait_s: float) -> dict[str, Any]:
        path = f"/v1/jobs/{quote(self.job_id, safe='')}?wait_s={wait_s:.3f}"
        request = EntryRequest("GET", path, timeout_s=wait_s + RESPONSE_MARGIN_S)
        return await self.session.fetch_json(request)


def print_job(output: Output, job: dict[str, Any]) -> None:
    """Prints one job as JSON or as a list of fields."""
    if output.is_json:
        output.print_json(job)
    else:
        output.print_fields(job)
