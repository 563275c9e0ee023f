"""Commands on jobs."""

from typing import Annotated, Any, Literal
from urllib.parse import quote

import msgspec
from cyclopts import Parameter

from cicadatray.internal.cli.application import format_examples, job_commands
from cicadatray.internal.cli.documents import read_input
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.job_wait import JobWait, print_job
from cicadatray.internal.cli.output import Output
from cicadatray.internal.cli.session import (
    JSON_HEADERS,
    check_header_value,
    new_identifier,
    open_session,
)
from cicadatray.scheduling.shape import Scope

JOB_COLUMNS = ("JOB", "STATE", "SHAPE", "URGENT", "REASON")
JobId = Annotated[str, Parameter(help="The job, as `job submit` or `job list` print it.")]


@job_commands.command(
    name="submit",
    help_epilogue=format_examples(
        "job submit --accelerators 16 --scope rack --declared-run 7200",
        "job submit --accelerators 8 --scope worker --declared-run 60 --urgent",
    ),
)
async def submit_job(
    *,
    accelerators: Annotated[int, Parameter(help="Size of the gang.")],
    scope: Annotated[Scope, Parameter(help="Unit that must hold all of it.")],
    declared_run: Annotated[float, Parameter(help="Expected run time in seconds.")],
    checkpointable: Annotated[
        bool, Parameter(help="Can be stopped and resumed from a checkpoint.")
    ] = False,
    urgent: Annotated[bool, Parameter(help="Claims the guarantee of the client account.")] = False,
    payload: Annotated[str, Parameter(help="File for the workers; - for standard input.")] = "",
    wait: Annotated[bool, Parameter(help="Wait until the job has ended.")] = False,
    idempotency_key: Annotated[
        str, Parameter(help="Key of an earlier invocation, to submit the job only once.")
    ] = "",
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Submits a job; when this returns, the job is durable."""
    key = check_header_value("--idempotency-key", idempotency_key or new_identifier("job"))
    document = {
        "shape": {"accelerators": accelerators, "scope": scope.value},
        "declared_run_s": declared_run,
        "checkpointable": checkpointable,
        "urgent": urgent,
        "payload": _read_payload(payload),
    }
    headers = {**JSON_HEADERS, "Idempotency-Key": key}
    body = msgspec.json.encode(document)
    async with open_session(options) as session:
        session.output.print_note(f"idempotency key {key}")
        request = EntryRequest(
            "POST", "/v1/jobs", body, headers, is_change=True, is_resend=bool(idempotency_key)
        )
        job = await session.fetch_json(request)
        if wait:
            return await JobWait(session, str(job["job_id"])).run(None)
        _show_job(session.output, job)
    return ExitCode.OK


@job_commands.command(
    name="show", help_epilogue=format_examples("job show job-0a1b", "job show job-0a1b --json")
)
async def show_job(job_id: JobId, /, *, options: EntryOptions = DEFAULT_OPTIONS) -> ExitCode:
    """Shows one job."""
    async with open_session(options) as session:
        _show_job(session.output, await session.get_json(job_path(job_id)))
    return ExitCode.OK


@job_commands.command(
    name="list", help_epilogue=format_examples("job list", "job list --state running --json")
)
async def list_jobs(
    *,
    state: Annotated[
        Literal[
            "waiting", "starting", "running", "stopping", "completed", "failed", "cancelled", ""
        ],
        Parameter(help="Only jobs in this state.", show_choices=True),
    ] = "",
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Lists the jobs of the client account."""
    async with open_session(options) as session:
        response = await session.get_json("/v1/jobs")
        jobs = [job for job in response.get("jobs", []) if not state or job.get("state") == state]
        if session.output.is_json:
            session.output.print_json({"jobs": jobs})
        else:
            session.output.print_table(JOB_COLUMNS, [_job_row(job) for job in jobs])
    return ExitCode.OK


@job_commands.command(
    name="wait",
    help_epilogue=format_examples("job wait job-0a1b", "job wait job-0a1b --timeout 3600"),
)
async def wait_for_job(
    job_id: JobId,
    /,
    *,
    timeout: Annotated[float | None, Parameter(help="Seconds after which to give up.")] = None,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Waits until a job has ended; exit code 0 only if it completed."""
    async with open_session(options) as session:
        return await JobWait(session, job_id).run(timeout)


@job_commands.command(name="cancel", help_epilogue=format_examples("job cancel job-0a1b"))
async def cancel_job(job_id: JobId, /, *, options: EntryOptions = DEFAULT_OPTIONS) -> ExitCode:
    """Cancels a job; doing so again changes nothing."""
    async with open_session(options) as session:
        request = EntryRequest("DELETE", job_path(job_id), is_change=True)
        _show_job(session.output, await session.fetch_json(request))
    return ExitCode.OK


@job_commands.command(name="explain", help_epilogue=format_examples("job explain job-0a1b"))
async def explain_job(job_id: JobId, /, *, options: EntryOptions = DEFAULT_OPTIONS) -> ExitCode:
    """Says why a job waits, what it needs and which jobs it would displace."""
    async with open_session(options) as session:
        explanation = await session.get_json(f"{job_path(job_id)}/explanation")
        if session.output.is_json:
            session.output.print_json(explanation)
        else:
            session.output.print_fields(explanation)
    return ExitCode.OK


def job_path(job_id: str) -> str:
    """Returns the URL path of a job."""
    return f"/v1/jobs/{quote(job_id, safe='')}"


def _show_job(output: Output, job: dict[str, Any]) -> None:
    print_job(output, job)


def _job_row(job: dict[str, Any]) -> list[Any]:
    shape = job.get("shape") or {}
    shape_text = f"{shape.get('accelerators')} in one {shape.get('scope')}"
    urgent = "yes" if job.get("urgent") else "no"
    return [job.get("job_id"), job.get("state"), shape_text, urgent, job.get("reason")]


def _read_payload(path: str) -> str:
    if not path:
        return ""
    try:
        return read_input(path).decode()
    except UnicodeDecodeError as error:
        raise ToolError(ExitCode.USAGE, f"payload {path}: expected UTF-8 text") from error
