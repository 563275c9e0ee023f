"""Which configuration decided a call, in answers, log lines and counters."""

from typing import Any

import pytest
from structlog.testing import capture_logs

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.graph_messages import QueuesReply, QueueState
from cicadatray.platform.client_api import ClientApi
from cicadatray.platform.operator_api import OperatorApi
from cover.platform.asgi import Answer, request
from cover.platform.test_client_api import FakeControl, FakeProbe

OLD, NEW = Decision(6, 2, "control-a"), Decision(7, 3, "control-b")
NEWER_TERM = Decision(7, 4, "control-a")


def queue_unknown(decision: Decision) -> Failure:
    return Failure(code=graph_codes.QUEUE_UNKNOWN, detail="no queue", decision=decision)


def read(decision: Decision) -> QueuesReply:
    return QueuesReply(version=decision.version, source=b"{}", decision=decision)


def ask(
    build: Any, path: str, outcomes: tuple[MessageStruct, ...]
) -> tuple[list[Answer], list[Any], MetricsRegistry]:
    metrics = MetricsRegistry()
    application = build(FakeControl(*outcomes), metrics)
    with capture_logs() as lines:
        answers = [run_virtual(request(application, "GET", path)) for _ in outcomes]
    return answers, lines, metrics


def client_api(control: Any, metrics: MetricsRegistry) -> Any:
    probe: Any = FakeProbe(True)
    return ClientApi(control, probe, 4000, metrics)


def operator_api(control: Any, metrics: MetricsRegistry) -> Any:
    return OperatorApi(control, frozenset(), metrics).application()


@pytest.mark.parametrize(
    ("build", "path", "outcomes", "statuses"),
    [
        (client_api, "/q/", (queue_unknown(NEW), queue_unknown(OLD)), [404, 503]),
        (client_api, "/q/", (queue_unknown(NEW), queue_unknown(NEWER_TERM)), [404, 404]),
        (client_api, "/q/", (queue_unknown(OLD), queue_unknown(NEW)), [404, 404]),
        (
            client_api,
            "/q/",
            (QueueState(waiting=1, decision=NEW), QueueState(waiting=1, decision=OLD)),
            [200, 200],
        ),
        (operator_api, "/cicadatray/config", (read(NEW), read(OLD)), [200, 503]),
        (operator_api, "/cicadatray/config", (read(NEW), read(NEWER_TERM)), [200, 200]),
        (operator_api, "/cicadatray/config", (read(OLD), read(NEW)), [200, 200]),
    ],
)
def test_decision_by_an_older_configuration_is_not_passed_on(
    build: Any, path: str, outcomes: tuple[MessageStruct, ...], statuses: list[int]
) -> None:
    """Guards against refusals and reads by a configuration that this process knows to be old."""
    answers, lines, metrics = ask(build, path, outcomes)
    assert [answer.status for answer in answers] == statuses
    is_older = outcomes[1].decision.version < outcomes[0].decision.version  # type: ignore[attr-defined]
    older = [line for line in lines if line["event"] == "older configuration"]
    assert len(older) == is_older
    counted = metrics.counter("cicadatray_older_decisions_total", "").label_sets.values
    assert sum(counted.values()) == is_older


@pytest.mark.parametrize(
    ("build", "path", "outcome", "event"),
    [
        (client_api, "/q/", queue_unknown(NEW), "request refused"),
        (operator_api, "/cicadatray/config", read(NEW), "configuration read"),
    ],
)
def test_answers_and_log_lines_name_the_decision(
    build: Any, path: str, outcome: MessageStruct, event: str
) -> None:
    """Guards against an answer that cannot be traced to a version, a term and an instance."""
    (answer,), lines, _ = ask(build, path, (outcome,))
    assert answer.headers["configuration-decision"] == "version=7; term=3"
    (line,) = [line for line in lines if line["event"] == event]
    assert (line["configuration"], line["term"], line["decided_by"]) == (7, 3, "control-b")
