"""Tests of structured logging, redaction and trace identifiers."""

import asyncio
import io
import logging
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
import structlog

from cicadatray.internal.observability.logging import configure_logging
from cicadatray.internal.observability.redaction import redact
from cicadatray.internal.observability.trace import (
    accept_trace_id,
    bind_trace_id,
    current_trace_id,
    traced,
)
from cicadatray.internal.settings.common import LoggingSettings
from cicadatray.scheduling.shape import Scope

SECRET = "hunter2hunter2"


@pytest.fixture
def output() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    handlers, level = logging.getLogger().handlers, logging.getLogger().level
    configure_logging(LoggingSettings(), "entry", "e1", stream)
    yield stream
    structlog.reset_defaults()
    logging.getLogger().handlers = handlers
    logging.getLogger().setLevel(level)


def read_lines(stream: io.StringIO) -> list[dict[str, Any]]:
    return [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]


def test_line_has_process_trace_and_level(output: io.StringIO) -> None:
    """Guards against lines that cannot be assigned to a process or a request."""
    with traced("abc"):
        structlog.get_logger().info("request answered", status=200)
    structlog.get_logger().debug("below the level")
    (line,) = read_lines(output)
    assert {
        "role": "entry",
        "name": "e1",
        "trace_id": "abc",
        "level": "info",
    }.items() <= line.items()
    assert (line["event"], line["status"]) == ("request answered", 200)


def test_standard_library_records_are_rendered_alike(output: io.StringIO) -> None:
    """Guards against unstructured or unredacted lines of libraries."""
    logging.getLogger("uvicorn.error").warning("token=%s", SECRET)
    (line,) = read_lines(output)
    assert (line["logger"], line["level"]) == ("uvicorn.error", "warning")
    assert SECRET not in output.getvalue()


def test_exception_text_is_redacted(output: io.StringIO) -> None:
    """Guards against credentials that reach the log inside a traceback."""
    try:
        raise ValueError(f"refused Authorization: Bearer {SECRET}")
    except ValueError:
        structlog.get_logger().exception("call failed")
    assert "ValueError" in read_lines(output)[0]["exception"]
    assert SECRET not in output.getvalue()


def test_console_format_is_not_json() -> None:
    """Guards against a console setting without effect."""
    stream = io.StringIO()
    configure_logging(LoggingSettings(format="console"), "agent", "a1", stream)
    structlog.get_logger().info("started", password=SECRET)
    structlog.reset_defaults()
    logging.getLogger().handlers = []
    assert "started" in stream.getvalue() and not stream.getvalue().startswith("{")
    assert SECRET not in stream.getvalue()


class Account(msgspec.Struct):
    name: str
    credential: str


@pytest.mark.parametrize(
    "value",
    [
        {"authorization": SECRET},
        {"Proxy-Authorization": SECRET},
        {"a": [{"b": ({"cluster_secret": SECRET},)}]},
        {"api_token": {"value": SECRET}},
        {"tokens": [SECRET]},
        [("authorization", SECRET)],
        [(b"authorization", SECRET.encode())],
        Account("a", SECRET),
        {"accounts": [Account("a", SECRET)]},
        f"GET / authorization: {SECRET}",
        f"Bearer {SECRET}",
        f"Authorization: Bearer {SECRET}",
        f"password='{SECRET} x'",
        f'{{"credential": "{SECRET}", "a": 1}}',
        f'{{\\"credential\\": \\"{SECRET}\\"}}',
        {b"password": SECRET},
        f"--token={SECRET}".encode(),
        {"error": ValueError(f"secret={SECRET}")},
    ],
    ids=str,
)
def test_secret_is_removed(value: Any) -> None:
    """Guards against secrets in logs and dumps, whatever the nesting."""
    assert SECRET not in str(redact(value))


@pytest.mark.parametrize(
    "value",
    [
        {"secret_file": "/etc/secret", "job_id": "j1"},
        "secret_file /etc/cicadatray/cluster.secret: empty",
        {"token_count": 3},
        ["worker", "w1"],
        "basic checks passed",
    ],
    ids=str,
)
def test_harmless_value_is_kept(value: Any) -> None:
    """Guards against redaction that hides what an operator needs."""
    assert redact(value) == value


def test_long_text_of_names_is_kept() -> None:
    """Guards against quadratic time, which took minutes on this text and blocked the event loop."""
    text = "token" * 40_000
    assert redact(text) == text


def test_enumerations_are_shown_by_value() -> None:
    """Guards against dumps that show Python names in place of the documented values."""
    assert redact({"scope": Scope.DATA_CENTRE}) == {"scope": "data_centre"}


def test_self_reference_ends() -> None:
    """Guards against a logging call that never returns."""
    loop: list[Any] = []
    loop.append(loop)
    assert "nested too deeply" in str(redact(loop))


@pytest.mark.parametrize("received", [None, "", "a b", "a\nb", "x" * 65, 'a"'])
def test_unsafe_trace_id_is_replaced(received: str | None) -> None:
    """Guards against forged log fields through a caller's header."""
    accepted = accept_trace_id(received)
    assert accepted != received and accepted.isalnum()


def test_trace_ids_of_concurrent_tasks_do_not_mix() -> None:
    """Guards against one request's lines under another request's identifier."""

    async def handle(trace_id: str) -> str:
        bind_trace_id(trace_id)
        await asyncio.sleep(0)
        return current_trace_id()

    async def main() -> list[str]:
        return list(await asyncio.gather(handle("a"), handle("b")))

    assert asyncio.run(main()) == ["a", "b"]
    assert current_trace_id() == ""
