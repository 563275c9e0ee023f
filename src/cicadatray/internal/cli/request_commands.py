"""Commands on requests."""

import base64
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

from cyclopts import Parameter

from cicadatray.internal.cli.application import examples, request_commands
from cicadatray.internal.cli.documents import read_input
from cicadatray.internal.cli.entry_options import DEFAULT_OPTIONS, EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import OUTCOME_HEADER, EntryResponse
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.session import (
    Session,
    check_header_value,
    new_identifier,
    open_session,
)

DEFAULT_DEADLINE_MS = 30_000
ANSWER_MARGIN_S = 5.0  # an entry answers at the deadline; the answer also needs to travel
MS_PER_S = 1000.0


@request_commands.command(
    name="send",
    help_epilogue=examples(
        "request send water-applications --body application.json",
        "request send faces --data '{\"face\": 12}' --non-idempotent",
    ),
)
async def send_request(
    service: Annotated[str, Parameter(help="Service that the endpoints announce.")],
    /,
    *,
    body: Annotated[str, Parameter(help="File with the body; - for standard input.")] = "",
    data: Annotated[str, Parameter(help="The body itself.")] = "",
    content_type: Annotated[
        str, Parameter(show_default=True, help="Content-Type.")
    ] = "application/json",
    non_idempotent: Annotated[
        bool, Parameter(help="Must run at most once, such as an invoice.")
    ] = False,
    idempotency_key: Annotated[
        str, Parameter(help="Key of an earlier invocation, to learn its outcome.")
    ] = "",
    deadline_ms: Annotated[
        int, Parameter(show_default=True, help="Deadline in milliseconds.")
    ] = DEFAULT_DEADLINE_MS,
    output: Annotated[Path | None, Parameter(help="File for the answer's body.")] = None,
    options: EntryOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Sends one request and prints the endpoint's answer."""
    if body and data:
        raise ToolError(ExitCode.USAGE, "--body and --data exclude each other")
    key = idempotency_key or new_identifier("key")
    request = EntryRequest(
        "POST",
        f"/v1/services/{quote(service, safe='')}/requests",
        read_input(body) if body else data.encode(),
        _headers(key, content_type, deadline_ms, non_idempotent),
        changes=True,
        repeats=bool(idempotency_key),
        timeout_s=deadline_ms / MS_PER_S + ANSWER_MARGIN_S,
    )
    async with open_session(options) as session:
        session.output.note(f"idempotency key {key}")
        response = await session.call(request)
        return _show_answer(session, response, key, output)


def _headers(key: str, content_type: str, deadline_ms: int, non_idempotent: bool) -> dict[str, str]:
    if deadline_ms < 1:
        raise ToolError(ExitCode.USAGE, f"--deadline-ms {deadline_ms}: expected at least 1")
    headers = {
        "Idempotency-Key": check_header_value("--idempotency-key", key),
        "Content-Type": check_header_value("--content-type", content_type),
        "Request-Deadline-Ms": str(deadline_ms),
    }
    return {**headers, "Request-Non-Idempotent": "true"} if non_idempotent else headers


def _show_answer(
    session: Session, response: EntryResponse, key: str, output: Path | None
) -> ExitCode:
    if output is not None:
        _write_file(output, response.body)
    if session.output.json_wanted:
        session.output.document(_describe(response, key))
    elif output is None:
        session.output.raw(response.body)
    if response.status_code < 400:
        return ExitCode.OK
    session.output.note(f"the endpoint answered with status {response.status_code}")
    return ExitCode.FAILED


def _describe(response: EntryResponse, key: str) -> dict[str, Any]:
    described: dict[str, Any] = {
        "idempotency_key": key,
        "outcome": response.headers.get(OUTCOME_HEADER, ""),
        "status_code": response.status_code,
        "content_type": response.headers.get("content-type", ""),
    }
    try:
        return {**described, "body": response.body.decode()}
    except UnicodeDecodeError:
        return {**described, "body_base64": base64.b64encode(response.body).decode()}


def _write_file(path: Path, data: bytes) -> None:
    try:
        path.write_bytes(data)
    except OSError as error:
        # The request has completed; only its body could not be stored.
        raise ToolError(ExitCode.FAILED, f"completed, but {path}: {error.strerror}") from error
