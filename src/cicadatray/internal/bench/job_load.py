"""Jobs of a quickstart or fault run."""

import msgspec

from cicadatray.internal.bench.deployment.caller import Caller
from cicadatray.internal.entry.http_jobs import JobDocument
from cicadatray.internal.standins.worker import TaskPayload
from cicadatray.scheduling.shape import Scope, Shape

WAIT_PATH_S = 10


class JobRefusedError(Exception):
    """A submission was not accepted."""


class SubmittedJob(msgspec.Struct, frozen=True):
    """A job that was acknowledged."""

    job_id: str
    accelerators: int


class JobLoad:
    """Submits jobs of one client account and waits for them."""

    __slots__ = ("caller", "ended", "submitted")

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.submitted: list[SubmittedJob] = []
        self.ended: list[JobDocument] = []

    async def submit(
        self, key: str, accelerators: int, scope: Scope, run_s: float, urgent: bool = False
    ) -> SubmittedJob:
        """Submits a job.

        Raises:
            JobRefusedError: it was not accepted.
        """
        body = {
            "shape": Shape(accelerators, scope),
            "declared_run_s": run_s,
            "checkpointable": True,
            "urgent": urgent,
            "payload": msgspec.json.encode(TaskPayload(run_s=run_s)).decode(),
        }
        headers = {"Idempotency-Key": key}
        answer = await self.caller.send("POST", "/v1/jobs", msgspec.json.encode(body), headers)
        if answer.status_code != 201:
            raise JobRefusedError(f"{key}: {answer}")
        document = msgspec.json.decode(answer.body, type=JobDocument)
        job = SubmittedJob(document.job_id, accelerators)
        self.submitted.append(job)
        return job

    async def wait(self, job: SubmittedJob, limit_s: float) -> JobDocument | None:
        """Returns the job when it has ended, or None when it has not in time."""
        for _ in range(max(1, int(limit_s / WAIT_PATH_S))):
            path = f"/v1/jobs/{job.job_id}?wait_s={WAIT_PATH_S}"
            answer = await self.caller.send("GET", path)
            if answer.status_code != 200:
                continue
            document = msgspec.json.decode(answer.body, type=JobDocument)
            if document.state in ("completed", "failed", "cancelled"):
                self.ended.append(document)
                return document
        return None
