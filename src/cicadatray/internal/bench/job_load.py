"""The job load of a quickstart or fault run."""

import msgspec

from cicadatray.internal.bench.deployment.caller import Caller
from cicadatray.internal.entry.http_jobs import JobDocument
from cicadatray.internal.standins.worker import TaskPayload
from cicadatray.scheduling.shape import Scope, Shape

POLL_WAIT_S = 10


class JobRefusedError(Exception):
    """A submission was not accepted."""


class SubmittedJob(msgspec.Struct, frozen=True):
    """A job whose submission was acknowledged."""

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
            JobRefusedError: the submission was not accepted.
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
            raise JobRefusedError(f"job {key} refused: {answer}")
        document = msgspec.json.decode(answer.body, type=JobDocument)
        job = SubmittedJob(document.job_id, accelerators)
        self.submitted.append(job)
        return job

    async def wait(self, job: SubmittedJob, timeout_s: float) -> JobDocument | None:
        """Waits until the job ends and returns it, or returns None after the timeout."""
        for _ in range(max(1, int(timeout_s / POLL_WAIT_S))):
            path = f"/v1/jobs/{job.job_id}?wait_s={POLL_WAIT_S}"
            answer = await self.caller.send("GET", path)
            if answer.status_code != 200:
                continue
            document = msgspec.json.decode(answer.body, type=JobDocument)
            if document.state in ("completed", "failed", "cancelled"):
                self.ended.append(document)
                return document
        return None
