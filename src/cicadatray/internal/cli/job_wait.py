"""Waiting for the end of a job."""

import asyncio
from typing import Any
from urllib.parse import quote

from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.output import Output
from cicadatray.internal.cli.session import Session

WAIT_STEP_S = 20.0  # an entry accepts at most 30 s
ANSWER_MARGIN_S = 10.0
FINAL_STATES = ("completed", "failed", "cancelled")


class JobWait:
    """Asks for the job again and again, each time waiting at the entry for its end."""

    __slots__ = ("job_id", "session")

    def __init__(self, session: Session, job_id: str) -> None:
        self.session = session
        self.job_id = job_id

    async def run(self, timeout_s: float | None) -> ExitCode:
        """Prints the job when it has ended, or when the time is over."""
        clock = asyncio.get_running_loop()
        deadline_s = clock.time() + timeout_s if timeout_s is not None else float("inf")
        job = await self._ask(0.0)
        while job.get("state") not in FINAL_STATES and clock.time() < deadline_s:
            job = await self._follow(job, min(WAIT_STEP_S, deadline_s - clock.time()))
        show_job_result(self.session.output, job)
        if job.get("state") not in FINAL_STATES:
            return ExitCode.TIMED_OUT
        return ExitCode.OK if job.get("state") == "completed" else ExitCode.FAILED

    async def _follow(self, job: dict[str, Any], wait_s: float) -> dict[str, Any]:
        reason = f" ({job['reason']})" if job.get("reason") else ""
        with self.session.output.progress(f"{self.job_id} is {job.get('state')}{reason}"):
            return await self._ask(wait_s)

    async def _ask(self, wait_s: float) -> dict[str, Any]:
        path = f"/v1/jobs/{quote(self.job_id, safe='')}?wait_s={wait_s:.3f}"
        request = EntryRequest("GET", path, timeout_s=wait_s + ANSWER_MARGIN_S)
        return await self.session.fetch(request)


def show_job_result(output: Output, job: dict[str, Any]) -> None:
    """Prints one job."""
    if output.json_wanted:
        output.document(job)
    else:
        output.fields(job)
