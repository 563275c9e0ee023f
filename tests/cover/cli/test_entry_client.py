"""Tests of retries and their limits on a virtual clock."""

import asyncio

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.cli.entry_client import EntryClient
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import EntryResponse
from cicadatray.internal.cli.error_mapping import find_exit_code
from cicadatray.internal.cli.errors import AnswerLostError, EntryUnreachableError, ToolError
from cicadatray.internal.cli.exit_code import ExitCode

CHANGE = EntryRequest("PUT", "/x", b"{}", {"Idempotency-Key": "k"}, is_change=True)
RESENT_CHANGE = EntryRequest("PUT", "/x", is_change=True, is_resend=True)
READ = EntryRequest("GET", "/x")
OK = EntryResponse(200, {}, b"{}")
BUSY = EntryResponse(503, {"retry-after": "7"}, b'{"code": "overloaded"}')
BUSY_LONG = EntryResponse(503, {"retry-after": "900"}, b"{}")
BUSY_BODY = EntryResponse(429, {}, b'{"code": "overloaded", "retry_after_s": 1.5}')
NOT_JSON = EntryResponse(500, {}, b"no json")
REFUSED = EntryResponse(422, {}, b'{"code": "job_impossible"}')
UNAUTHORIZED = EntryResponse(401, {}, b'{"code": "credential_unknown"}')
NOT_FOUND = EntryResponse(404, {}, b'{"code": "job_unknown"}')
IN_DOUBT = EntryResponse(503, {"retry-after": "1"}, b'{"code": "in_doubt"}')
CONTROL_UNAVAILABLE = EntryResponse(503, {"retry-after": "1"}, b'{"code": "control_unavailable"}')
LOST = AnswerLostError("connection reset")
DOWN = EntryUnreachableError("connection refused")
Event = EntryResponse | Exception


class ScriptedTransport:
    """Returns or raises scripted events; records the time, address and request of each attempt."""

    __slots__ = ("events", "sent")

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        self.sent: list[tuple[float, str, EntryRequest]] = []

    async def send(self, address: str, request: EntryRequest) -> EntryResponse:
        self.sent.append((asyncio.get_running_loop().time(), address, request))
        event = self.events.pop(0) if len(self.events) > 1 else self.events[0]
        if isinstance(event, Exception):
            raise event
        return event


def call_client(events: list[Event], request: EntryRequest) -> tuple[ScriptedTransport, Event]:
    transport = ScriptedTransport(list(events))
    client = EntryClient(("a", "b", "c"), transport, 30.0, lambda line: None)
    try:
        return transport, run_virtual(client.call(request))
    except ToolError as error:
        return transport, error


@pytest.mark.parametrize(
    ("events", "attempts", "status_code"),
    [
        ([OK], 1, 200),
        ([REFUSED], 1, 422),
        ([NOT_JSON], 1, 500),
        ([LOST, OK], 2, 200),
        ([DOWN, DOWN, OK], 3, 200),
        ([DOWN, LOST, DOWN, OK], 4, 200),
        ([BUSY, OK], 2, 200),
        ([BUSY_BODY, BUSY, OK], 3, 200),
        ([BUSY_LONG], 1, 503),
    ],
)
def test_attempts_until_a_response(events: list[Event], attempts: int, status_code: int) -> None:
    """Guards against giving up after one failed entry, and a resend after a final refusal."""
    transport, result = call_client(events, CHANGE)
    assert isinstance(result, EntryResponse)
    assert (len(transport.sent), result.status_code) == (attempts, status_code)
    assert {id(request) for _, _, request in transport.sent} == {id(CHANGE)}


def test_entries_are_tried_in_turn_before_any_wait() -> None:
    """Guards against a delay because of one failed entry while another is available."""
    transport, _ = call_client([DOWN, LOST, OK], CHANGE)
    assert [(at_s, address) for at_s, address, _ in transport.sent] == [
        (0.0, "a"),
        (0.0, "b"),
        (0.0, "c"),
    ]


def test_retry_after_is_honoured_at_the_same_entry() -> None:
    """Guards against a resend before the time that an overloaded entry requested."""
    transport, _ = call_client([BUSY, BUSY_BODY, OK], CHANGE)
    assert [(at_s, address) for at_s, address, _ in transport.sent] == [
        (0.0, "a"),
        (7.0, "a"),
        (8.5, "a"),
    ]


@pytest.mark.parametrize(
    ("events", "request_", "exit_code"),
    [
        ([DOWN], CHANGE, ExitCode.UNREACHABLE),
        ([LOST], CHANGE, ExitCode.OUTCOME_UNKNOWN),
        ([LOST], READ, ExitCode.UNREACHABLE),
        ([DOWN], RESENT_CHANGE, ExitCode.OUTCOME_UNKNOWN),
        ([LOST, DOWN], CHANGE, ExitCode.OUTCOME_UNKNOWN),
        ([DOWN, LOST, DOWN], CHANGE, ExitCode.OUTCOME_UNKNOWN),
    ],
)
def test_exit_code_without_a_response(
    events: list[Event], request_: EntryRequest, exit_code: ExitCode
) -> None:
    """Guards against "not run" for a request that may have run, and against endless retries."""
    transport, result = call_client(events, request_)
    assert isinstance(result, ToolError) and result.exit_code is exit_code
    assert 3 < len(transport.sent) < 100
    assert transport.sent[-1][0] <= 30.0


def test_retries_end_with_the_last_response() -> None:
    """Guards against resends to an overloaded entry beyond the time limit."""
    transport, result = call_client([BUSY], CHANGE)
    assert isinstance(result, EntryResponse) and result.status_code == 503
    assert [at_s for at_s, _, _ in transport.sent] == [0.0, 7.0, 14.0, 21.0, 28.0]


@pytest.mark.parametrize(
    ("status_code", "headers", "body", "lost", "exit_code"),
    [
        (400, {}, b"{}", False, ExitCode.REFUSED),
        (401, {}, b"{}", False, ExitCode.UNAUTHORIZED),
        (403, {}, b"{}", False, ExitCode.UNAUTHORIZED),
        (404, {}, b"{}", False, ExitCode.NOT_FOUND),
        (409, {}, b'{"code": "version_conflict"}', False, ExitCode.CONFLICT),
        (422, {}, b'{"code": "key_reused"}', False, ExitCode.CONFLICT),
        (422, {}, b'{"code": "job_impossible"}', False, ExitCode.REFUSED),
        (429, {}, b"{}", False, ExitCode.NOT_RUN),
        (503, {"cicadatray-outcome": "not_run"}, b"{}", False, ExitCode.NOT_RUN),
        (502, {"cicadatray-outcome": "outcome_unknown"}, b"{}", False, ExitCode.OUTCOME_UNKNOWN),
        (503, {"cicadatray-outcome": "not_run"}, b"{}", True, ExitCode.OUTCOME_UNKNOWN),
        (503, {}, b'{"code": "entry_draining"}', False, ExitCode.NOT_RUN),
        (503, {}, b'{"code": "in_doubt"}', False, ExitCode.OUTCOME_UNKNOWN),
        (503, {}, b'{"code": "control_unavailable"}', False, ExitCode.OUTCOME_UNKNOWN),
        (500, {}, b"Internal Server Error", False, ExitCode.OUTCOME_UNKNOWN),
        (401, {}, b"{}", True, ExitCode.OUTCOME_UNKNOWN),
        (403, {}, b"{}", True, ExitCode.OUTCOME_UNKNOWN),
        (404, {}, b'{"code": "job_unknown"}', True, ExitCode.OUTCOME_UNKNOWN),
        (409, {}, b'{"code": "version_conflict"}', True, ExitCode.CONFLICT),
        (422, {}, b'{"code": "operation_id_reused"}', True, ExitCode.CONFLICT),
        (422, {}, b'{"code": "job_impossible"}', True, ExitCode.OUTCOME_UNKNOWN),
        (422, {}, b'{"code": "invalid_configuration"}', True, ExitCode.OUTCOME_UNKNOWN),
        (400, {}, b'{"code": "invalid_body"}', True, ExitCode.REFUSED),
        (429, {}, b"{}", True, ExitCode.OUTCOME_UNKNOWN),
    ],
)
def test_exit_code_of_an_error(
    status_code: int, headers: dict[str, str], body: bytes, lost: bool, exit_code: ExitCode
) -> None:
    """Guards against "not run" for a request that may have run, also in an earlier attempt."""
    response = EntryResponse(status_code, headers, body, earlier_answer_lost=lost)
    assert find_exit_code(response, is_change=True) is exit_code


@pytest.mark.parametrize("refusal", [REFUSED, UNAUTHORIZED, NOT_FOUND], ids=["422", "401", "404"])
@pytest.mark.parametrize(
    ("earlier", "request_", "is_unknown"),
    [
        (IN_DOUBT, CHANGE, True),
        (CONTROL_UNAVAILABLE, CHANGE, True),
        (LOST, CHANGE, True),
        (BUSY, CHANGE, False),
        (DOWN, CHANGE, False),
        (CONTROL_UNAVAILABLE, READ, False),
    ],
    ids=["in doubt", "no control", "lost", "overloaded", "down", "read"],
)
def test_refusal_after_an_attempt_in_doubt_is_an_unknown_outcome(
    earlier: Event, request_: EntryRequest, is_unknown: bool, refusal: EntryResponse
) -> None:
    """Guards against "refused" for a change that an earlier attempt has carried out."""
    _, result = call_client([earlier, refusal], request_)
    assert isinstance(result, EntryResponse) and result.status_code == refusal.status_code
    exit_code = find_exit_code(result, request_.is_change)
    assert (exit_code is ExitCode.OUTCOME_UNKNOWN) is is_unknown


def test_failed_read_is_not_an_unknown_outcome() -> None:
    """Guards against a failed read that is reported as a change with unknown outcome."""
    response = EntryResponse(503, {}, b'{"code": "in_doubt"}', earlier_answer_lost=True)
    assert find_exit_code(response, is_change=False) is ExitCode.NOT_RUN
