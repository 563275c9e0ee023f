"""Tests of the HTTP interface: stalled callers, disconnects, draining and stopping."""

import asyncio

import pytest
from deployment import Deployment
from http_connection import HttpConnection, connect_account
from uvicorn.server import ServerState

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.entry import guarded_protocol
from cicadatray.internal.entry.http_body import MAX_BODY_BYTES

LONG_HEADER = b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000


@pytest.mark.parametrize(
    ("sent", "status", "code"),
    [
        (b"", "408", "header_too_slow"),
        (b"POST / HT", "408", "header_too_slow"),
        (LONG_HEADER, "431", "header_too_large"),
        (b"\x00\x01\x02\r\n\r\n", "400", "invalid_http"),
    ],
)
def test_a_stalled_or_malformed_request_gets_an_error_and_is_closed(
    sent: bytes, status: str, code: str
) -> None:
    """Guards against callers that hold a connection indefinitely without sending a request."""

    async def main() -> None:
        connection = HttpConnection(Deployment())
        if sent:
            connection.send(sent)
        answer = await connection.answer()
        assert answer.startswith(f"HTTP/1.1 {status} ") and code in answer
        assert connection.transport.closed

    run_virtual(main())


def test_a_header_sent_byte_by_byte_times_out() -> None:
    """Guards against resetting the header timer with every byte."""

    async def main() -> None:
        connection = HttpConnection(Deployment())
        for _ in range(100):
            connection.send(b"G")
            await asyncio.sleep(0.5)
        assert connection.transport.written.startswith(b"HTTP/1.1 408 ")
        assert asyncio.get_running_loop().time() == 50.0

    run_virtual(main())


def test_a_body_that_is_too_large_or_too_slow_gets_an_error_and_is_closed() -> None:
    """Guards against unbounded memory and against losing the response in a connection reset."""

    async def main() -> None:
        deployment = Deployment()
        await connect_account(deployment)
        large = HttpConnection(deployment)
        large.send_request(b"x" * (MAX_BODY_BYTES + 1))
        assert "413" in (await large.answer())[:20]
        slow = HttpConnection(deployment)
        slow.send(b"POST /v1/services/meters/requests HTTP/1.1\r\nHost: e\r\n")
        slow.send(b"Authorization: Bearer credential\r\nContent-Length: 10\r\n\r\n12")
        answer = await slow.answer()
        assert "408" in answer[:20] and "body_too_slow" in answer
        assert large.transport.closed and slow.transport.closed

    run_virtual(main())


def test_connections_beyond_the_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded memory use by connections."""
    monkeypatch.setattr(guarded_protocol, "MAX_CONNECTIONS", 2)

    async def main() -> None:
        deployment, state = Deployment(), ServerState()
        connections = [HttpConnection(deployment, state) for _ in range(3)]
        assert [connection.transport.closed for connection in connections] == [False, False, True]
        assert b"too_many_connections" in connections[2].transport.written

    run_virtual(main())


def test_a_disconnect_removes_the_request_from_the_queue() -> None:
    """Guards against running requests of callers that have disconnected."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=2.0)
        await connect_account(deployment)
        first, second = HttpConnection(deployment), HttpConnection(deployment)
        first.send_request(b"first")
        await asyncio.sleep(0.1)
        second.send_request(b"second")
        await asyncio.sleep(0.1)
        second.disconnect()
        assert "200" in (await first.answer())[:20]
        await asyncio.sleep(5.0)
        assert deployment.executions("second") == 0
        metrics = deployment.entries[0].context.metrics.render_text()
        assert 'outcome="caller_gone"' in metrics

    run_virtual(main())


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        ({}, "not_run"),
        ({"Idempotency_Key": "new", "Request_Non_Idempotent": "true"}, "outcome_unknown"),
    ],
)
@pytest.mark.parametrize("reason", ["entry_draining", "configuration_unconfirmed"])
def test_outcome_of_a_request_refused_before_its_key_was_read(
    reason: str, headers: dict[str, str], outcome: str
) -> None:
    """Guards against `not_run` for a request that an earlier send may have run."""

    async def main() -> None:
        deployment = Deployment()
        await connect_account(deployment)
        deployment.entries[0].context.draining = reason == "entry_draining"
        if reason == "configuration_unconfirmed":
            await asyncio.sleep(6.0)
        connection = HttpConnection(deployment)
        connection.send_request(b"query", **headers)
        answer = (await connection.answer()).lower()
        assert f"cicadatray-outcome: {outcome}" in answer
        assert f"cicadatray-code: {reason}" in answer and "retry-after: " in answer

    run_virtual(main())


def test_a_draining_entry_answers_resends_of_requests_in_progress() -> None:
    """Guards against refusing a resend whose request is about to be answered."""

    async def main() -> None:
        deployment = Deployment(service_s=2.0)
        await connect_account(deployment)
        headers = {"Idempotency_Key": "k", "Request_Non_Idempotent": "true"}
        first, resend = HttpConnection(deployment), HttpConnection(deployment)
        first.send_request(b"invoice", **headers)
        await asyncio.sleep(0.2)
        deployment.entries[0].context.draining = True
        resend.send_request(b"invoice", **headers)
        for connection in (first, resend):
            assert "answer to invoice" in await connection.answer()
        await deployment.entries[0].requests.drain()
        assert deployment.executions("invoice") == 1

    run_virtual(main())


def test_a_second_stop_signal_reports_the_true_outcomes() -> None:
    """Guards against a 500 or no response for requests in progress at the second signal."""

    async def main() -> None:
        deployment = Deployment(agents=1, slots=1, service_s=30.0)
        await connect_account(deployment)
        connections = [HttpConnection(deployment) for _ in range(3)]
        headers = {"Idempotency_Key": "k", "Request_Non_Idempotent": "true"}
        connections[0].send_request(b"running", **headers)
        await asyncio.sleep(0.1)
        connections[1].send_request(b"queued")
        connections[2].send_request(b"queued-2", Idempotency_Key="q", Request_Non_Idempotent="true")
        await asyncio.sleep(0.1)
        entry = deployment.entries[0]
        entry.context.draining = True
        entry.requests.abandon()
        await asyncio.wait_for(entry.requests.drain(), 5.0)
        answers = [await connection.answer() for connection in connections]
        expected = ["outcome_unknown", "not_run", "not_run"]
        for answer, outcome in zip(answers, expected, strict=True):
            assert f"cicadatray-outcome: {outcome}" in answer.lower()
        assert deployment.executions("queued") + deployment.executions("queued-2") == 0

    run_virtual(main())


def test_a_second_stop_signal_does_not_wait_for_control() -> None:
    """Guards against a stop that hangs on a call to an unresponsive leader."""

    async def main() -> None:
        deployment = Deployment()
        await connect_account(deployment)
        deployment.control.available = False
        connection = HttpConnection(deployment)
        connection.send_request(b"i", Idempotency_Key="k", Request_Non_Idempotent="true")
        await asyncio.sleep(0.1)
        entry = deployment.entries[0]
        entry.requests.abandon()
        await asyncio.wait_for(entry.requests.drain(), 2.5)
        answer = (await connection.answer()).lower()
        assert "outcome_unknown" in answer and "entry_stopped" in answer

    run_virtual(main())


def test_metrics_need_no_credential_and_show_accounts_and_outcomes() -> None:
    """Guards against metrics that cannot be scraped or that omit an outcome."""

    async def main() -> None:
        deployment = Deployment()
        await connect_account(deployment)
        connection = HttpConnection(deployment)
        connection.send_request(b"query")
        await connection.answer()
        scrape = HttpConnection(deployment)
        scrape.send(b"GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n")
        text = await scrape.answer()
        labels = 'client_account="acueducto",outcome="completed"'
        assert f"cicadatray_request_seconds_count{{{labels}}} 1" in text
        assert "credential" not in text

    run_virtual(main())


def test_the_description_counts_requests_and_shows_peers() -> None:
    """Guards against a dump that omits the queue or the health of a peer."""

    async def main() -> None:
        deployment = Deployment(agents=3, slots=1, service_s=2.0)
        await connect_account(deployment)
        calls = [deployment.send(str(n), deadline_s=60.0) for n in range(5)]
        await asyncio.sleep(0.1)
        description = deployment.entries[0].context.describe()
        assert (description.requests_in_progress, description.waiting) == (5, 2)
        assert description.services[0].waiting == {"acueducto": 2}
        assert {peer.health for peer in description.peers} == {"healthy"}
        await asyncio.gather(*calls)

    run_virtual(main())
