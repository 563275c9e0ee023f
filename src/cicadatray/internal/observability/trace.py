"""The identifier that follows one request or job through all processes."""

import re
import secrets
from collections.abc import Iterator
from contextlib import contextmanager

from structlog.contextvars import bind_contextvars, bound_contextvars, get_contextvars

TRACE_HEADER = "Trace-Id"
TRACE_KEY = "trace_id"
TRACE_ID_BYTES = 8
# Keeps callers from forging log fields.
TRACE_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")


def new_trace_id() -> str:
    """Returns a new random identifier."""
    return secrets.token_hex(TRACE_ID_BYTES)


def accept_trace_id(received: str | None) -> str:
    """Returns the received identifier, or a new one if it is missing or malformed."""
    if received is not None and TRACE_ID_PATTERN.fullmatch(received):
        return received
    return new_trace_id()


def current_trace_id() -> str:
    """Returns the identifier of the current task, or an empty text outside of any trace.

    Messages to other processes carry it; the receiver passes it to `traced`.
    """
    return str(get_contextvars().get(TRACE_KEY, ""))


def bind_trace_id(trace_id: str) -> None:
    """Binds the identifier for the rest of the current task and the tasks that it creates."""
    bind_contextvars(**{TRACE_KEY: trace_id})


@contextmanager
def traced(received: str | None = None) -> Iterator[str]:
    """Binds the received identifier, or a new one, in the block and restores the previous one."""
    trace_id = accept_trace_id(received)
    with bound_contextvars(**{TRACE_KEY: trace_id}):
        yield trace_id
