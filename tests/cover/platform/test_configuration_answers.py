"""Answers to operators who send a configuration."""

from typing import Any

import msgspec
import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.control_client import ControlUnavailableError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.graph_messages import QueuesReply, SetQueues
from cicadatray.platform.operator_api import DOCUMENT_LIMIT_BYTES, OperatorApi
from cover.platform.asgi import request
from cover.platform.documents import FULL_CONFIGURATION
from cover.platform.test_client_api import FakeControl

PATH = "/cicadatray/config"
STORED = QueuesReply(version=FULL_CONFIGURATION["Version"])
OVERTAKEN = QueuesReply(version=FULL_CONFIGURATION["Version"] + 1)


def padded(size: int) -> bytes:
    """Returns a valid document of this size."""
    body = msgspec.json.encode(FULL_CONFIGURATION)
    return body[:-1] + b" " * (size - len(body)) + body[-1:]


def with_keys(count: int) -> bytes:
    """Returns a valid document in which one account has many short keys."""
    keys = [f"{number:x}" for number in range(count)]
    tenants = [{"Name": "one", "ApiKeys": keys}]
    return msgspec.json.encode({**FULL_CONFIGURATION, "Tenants": tenants})


def with_routes(count: int) -> bytes:
    """Returns a valid document with many routes."""
    route = FULL_CONFIGURATION["Routes"][0]
    routes = [{**route, "Name": f"r{n}", "PathPrefix": f"/{n}/"} for n in range(count)]
    return msgspec.json.encode({**FULL_CONFIGURATION, "Routes": routes})


@pytest.mark.parametrize(
    ("body", "outcome", "status"),
    [
        (padded(2_000), STORED, 200),
        (padded(2_000), OVERTAKEN, 200),
        (padded(DOCUMENT_LIMIT_BYTES), STORED, 200),
        (with_routes(4_800), STORED, 200),
        (with_keys(50_000), STORED, 200),
        (padded(2_000), Failure(code="x", detail="y"), 503),
        (padded(2_000), ControlUnavailableError("no leader", True), 503),
    ],
    ids=[
        "stored",
        "overtaken",
        "largest",
        "most routes",
        "many keys",
        "failure",
        "in doubt",
    ],
)
def test_valid_document(body: bytes, outcome: MessageStruct | Exception, status: int) -> None:
    """Guards against a final refusal of a valid document, and against confirming in doubt."""
    control: Any = FakeControl(outcome)
    answer = run_virtual(request(OperatorApi(control).application(), "PUT", PATH, body))
    assert (answer.status, len(control.calls)) == (status, 1)
    call = control.calls[0][0]
    assert isinstance(call, SetQueues) and call.source == body
    assert ("retry-after" in answer.headers) is (status == 503)


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (padded(2_000)[:1_900], 400),
        (b"", 400),
        (b"[]", 400),
        (padded(DOCUMENT_LIMIT_BYTES + 1), 413),
        (with_keys(120_000), 413),
    ],
    ids=["truncated", "empty", "no object", "too large", "too many keys"],
)
def test_refused_document(body: bytes, status: int) -> None:
    """Guards against a document that can never take effect and is answered 503 for good."""
    control: Any = FakeControl(STORED)
    answer = run_virtual(request(OperatorApi(control).application(), "PUT", PATH, body))
    assert (answer.status, control.calls) == (status, [])
