"""Commands that send requests."""

import base64
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

from cyclopts import Parameter

from cicadatray.internal.cli.application import format_examples, request_commands
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
RESPONSE_MARGIN_S = 5.0  # an entry responds at the deadline; allows for the network latency
MS_PER_S = 1000.0


@request_commands.command(
    name="send",
    help_epilogue=format_examples(
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
        raise ToolError(ExitCode.USAGE, "--body and --data are mutually exclusive")
    key = idempotency_key or new_identifier("key")
    request = EntryRequest(
        "POST",
        f"/v1/services/{quote(service, safe='')}/requests",
        read_input(body) if body else data.encode(),
        _build_headers(key, content_type, deadline_ms, non_idempotent),
        is_change=True,
        is_resend=bool(idempotency_key),
        timeout_s=deadline_ms / MS_PER_S + RESPONSE_MARGIN_S,
    )
    async with open_session(options) as session:
        session.output.print_note(f"idempotency key {key}")
        response = await session.call(request)
        return _show_response(session, response, key, output)


def _build_headers(
    key: str, content_type: str, deadline_ms: int, non_idempotent: bool
) -> dict[str, str]:
    if deadline_ms < 1:
        raise ToolError(ExitCode.USAGE, f"--deadline-ms {deadline_ms}: expected at least 1")
    headers = {
        "Idempotency-Key": check_header_value("--idempotency-key", key),
        "Content-Type": check_header_value("--content-type", content_type),
        "Request-Deadline-Ms": str(deadline_ms),
    }
    return {**headers, "Request-Non-Idempotent": "true"} if non_idempotent else headers


def _show_response(
    session: Session, response: EntryResponse, key: str, output: Path | None
) -> ExitCode:
    if output is not None:
        _write_file(output, response.body)
    if session.output.is_json:
        session.output.print_json(_describe_response(response, key))
    elif output is None:
        session.output.write_raw(response.body)
    if response.status_code < 400:
        return ExitCode.OK
    session.output.print_note(f"the endpoint responded with status {response.status_code}")
    return ExitCode.FAILED


def _describe_response(response: EntryResponse, key: str) -> dict[str, Any]:
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
        # The request has completed; only its response body could not be written.
        raise ToolError(
            ExitCode.FAILED, f"the request completed, but {path}: {error.strerror}"
        ) from error
