"""Tests of the status codes that clients get and of the calls to control."""

from typing import Any

import msgspec
import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.call_trace import CallTrace
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.errors import FrameError
from cicadatray.internal.wire.leader_contact import LeaderContact
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import (
    CancelGraph,
    GraphState,
    QueueState,
    ReadGraph,
    SubmitGraph,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.relay_server import UNKNOWN_CALL_CODE
from cicadatray.internal.wire.rpc_server import BUSY_CODE, INTERNAL_ERROR_CODE
from cicadatray.platform.client_api import ClientApi
from cicadatray.platform.configuration_document import digest_credential
from cover.platform.asgi import Answer, request
from cover.platform.documents import JOB

PATH = "/fast/00000000000000aa"
HEADERS = {"Host": "Jobs.example:80", "Authorization": "Token k1", "Deadline-Ms": "3000"}


class FakeControl:
    """Returns or raises the given outcomes in order, the last one repeatedly; records calls."""

    def __init__(self, *outcomes: MessageStruct | Exception) -> None:
        self.codec = message_codec()
        self.outcomes = list(outcomes)
        self.calls: list[tuple[Any, float]] = []

    async def call(
        self,
        message: MessageStruct,
        timeout_s: float,
        trace: CallTrace | None = None,
        may_have_effect: bool = False,
    ) -> MessageStruct:
        self.calls.append((message, timeout_s))
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if isinstance(outcome, ControlUnavailableError):
            outcome.may_have_effect = outcome.may_have_effect or may_have_effect
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class FakeProbe:
    def __init__(self, recent: bool) -> None:
        self.recent = recent

    def has_recent_leader_reply(self) -> bool:
        return self.recent

    def is_connected(self, limit_s: float) -> bool:
        return self.recent

    def contact(self) -> LeaderContact:
        return LeaderContact(leader="", relay="", known_for_s=None, silence_s=None)


def ask(control: FakeControl, method: str, body: bytes = b"", recent: bool = True) -> Answer:
    api = ClientApi(control, FakeProbe(recent), 4000, MetricsRegistry())  # type: ignore[arg-type]
    return run_virtual(request(api, method, PATH, body, HEADERS))


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (GraphState(graph_id="a", state="queued"), 200),
        (Failure(code=graph_codes.QUEUES_UNSET, detail=""), 503),
        (Failure(code=graph_codes.QUEUE_UNKNOWN, detail=""), 404),
        (Failure(code=graph_codes.CREDENTIAL_UNKNOWN, detail=""), 401),
        (Failure(code=graph_codes.ACCOUNT_MISMATCH, detail=""), 403),
        (Failure(code=graph_codes.GRAPH_UNKNOWN, detail=""), 410),
        (Failure(code=BUSY_CODE, detail=""), 503),
        (Failure(code=UNKNOWN_CALL_CODE, detail=""), 503),
        (Failure(code="anything else", detail=""), 504),
        (Acknowledged(), 504),
        (Failure(code=INTERNAL_ERROR_CODE, detail=""), 504),
        (ControlUnavailableError("silent", may_have_effect=False), 503),
        (ControlUnavailableError("silent", may_have_effect=True), 504),
    ],
)
def test_status_of_a_submission(reply: MessageStruct | Exception, status: int) -> None:
    """Guards against 503, which means that the job never runs, while the outcome is unknown."""
    answer = ask(FakeControl(reply), "POST", msgspec.json.encode(JOB))
    assert answer.status == status
    assert ("retry-after" in answer.headers) is (status >= 500)


@pytest.mark.parametrize(
    ("code", "retry_after_s", "status", "header"),
    [
        (graph_codes.NOT_FEASIBLE, 0.0, 422, None),
        (graph_codes.NOT_NOW, 0.0, 429, "1"),
        (graph_codes.NOT_NOW, 0.4, 429, "1"),
        (graph_codes.NOT_NOW, 2.0, 429, "2"),
        (graph_codes.NOT_NOW, 2.1, 429, "3"),
    ],
)
def test_status_of_a_refused_job(
    code: str, retry_after_s: float, status: int, header: str | None
) -> None:
    """A client must learn whether to come back, and not before capacity is free."""
    failure = Failure(code=code, detail="not accepted: full", retry_after_s=retry_after_s)
    answer = ask(FakeControl(failure), "POST", msgspec.json.encode(JOB))
    assert (answer.status, answer.headers.get("retry-after")) == (status, header)
    assert b"not accepted: full" in answer.body


@pytest.mark.parametrize(("method", "status"), [("GET", 503), ("POST", 504), ("DELETE", 504)])
def test_status_of_a_call_that_failed_inside_control(method: str, status: int) -> None:
    """Guards against telling a client that a call had no effect when its handler failed.

    The handler may have failed after the command was committed.
    """
    failure = Failure(code=INTERNAL_ERROR_CODE, detail="KeyError")
    assert ask(FakeControl(failure), method, msgspec.json.encode(JOB)).status == status


@pytest.mark.parametrize(("method", "status"), [("GET", 503), ("POST", 504), ("DELETE", 504)])
def test_status_of_a_call_with_an_undecodable_reply(method: str, status: int) -> None:
    """Guards against an internal server error when a relay passes on a reply of another version."""
    control = FakeControl(FrameError("undecodable message"))
    assert ask(control, method, msgspec.json.encode(JOB)).status == status


def test_unknown_outcome_of_the_first_call_stays_unknown() -> None:
    """Guards against a 503 because the second call, unlike the first, reached no leader."""
    control = FakeControl(
        ControlUnavailableError("lost", may_have_effect=True),
        ControlUnavailableError("unreachable", may_have_effect=False),
    )
    assert ask(control, "POST", msgspec.json.encode(JOB)).status == 504


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_immediate_503_without_a_leader(method: str) -> None:
    """Guards against waiting until the client's deadline for a request that cannot be served.

    No instance replies here; test_reads_without_leader.py has reads during an election.
    """
    control = FakeControl(GraphState(graph_id="a", state="queued"))
    answer = ask(control, method, msgspec.json.encode(JOB), recent=False)
    assert (answer.status, control.calls) == (503, [])
    assert answer.headers["retry-after"] == "1"


@pytest.mark.parametrize(
    ("method", "call_type"),
    [("GET", ReadGraph), ("POST", SubmitGraph), ("DELETE", CancelGraph)],
)
def test_call_to_control(method: str, call_type: type) -> None:
    """Guards against a wrong host, path or credential, which select another queue or account."""
    control = FakeControl(GraphState(graph_id="a", state="running"))
    answer = ask(control, method, msgspec.json.encode(JOB))
    call, timeout_s = control.calls[0]
    assert isinstance(call, call_type)
    assert (call.target.host, call.target.path) == ("jobs.example", PATH)
    assert call.target.credential_digest == digest_credential("k1")
    assert timeout_s < 3.0
    assert answer.json() == {"State": "running"}


def test_number_of_waiting_jobs_of_a_queue() -> None:
    """Guards against a wrong name for the number of waiting jobs, Pending on the platform."""
    assert ask(FakeControl(QueueState(waiting=4)), "GET").json() == {"Pending": 4}


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"x" * 5000])
def test_unreadable_submission(body: bytes) -> None:
    """Guards against calling control for a body that is not a job."""
    control = FakeControl(GraphState(graph_id="a", state="queued"))
    assert ask(control, "POST", body).status == 400
    assert control.calls == []
