"""Configuration of structured logging."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, Protocol, TextIO, cast

import msgspec
import structlog

from cicadatray.internal.observability.redaction import redact_event
from cicadatray.internal.settings.common import LoggingSettings

JSON_FORMAT = "json"


class LogStream(Protocol):
    """A text stream that log lines are written to."""

    def write(self, text: str, /) -> int:
        """Writes text, or buffers it, and returns its length in characters."""

    def flush(self) -> None:
        """Writes buffered text."""

    def isatty(self) -> bool:
        """Returns whether the stream is a terminal."""


def configure_logging(
    settings: LoggingSettings, role: str, name: str, stream: LogStream | None = None
) -> None:
    """Makes every structlog logger of the process write to `stream` (standard error by default).

    `role` and `name` are part of each line, as is the `trace_id` bound in the current task.
    Records of the standard library's logging are forwarded to structlog. A repeated call replaces
    the configuration.
    """
    output: LogStream = stream or sys.stderr
    level = logging.getLevelNamesMapping()[settings.level.upper()]

    def add_process(
        logger: Any, method_name: str, event_dict: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        return {"role": role, "name": name, **event_dict}

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            add_process,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            redact_event,
            _renderer(settings, output),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, output)),
        cache_logger_on_first_use=False,
    )
    _route_standard_logging(level)


def _renderer(settings: LoggingSettings, output: LogStream) -> Any:
    if settings.format == JSON_FORMAT:
        return structlog.processors.JSONRenderer(serializer=_encode)
    return structlog.dev.ConsoleRenderer(colors=output.isatty())


def _encode(event: Any, **_: Any) -> str:
    return msgspec.json.encode(event).decode()


class _StructlogHandler(logging.Handler):
    """Forwards records of libraries that use the standard library's logging."""

    __slots__ = ()

    def emit(self, record: logging.LogRecord) -> None:
        logger = structlog.get_logger()
        fields: dict[str, Any] = {"logger": record.name}
        if record.exc_info:
            fields["exc_info"] = record.exc_info
        logger.log(record.levelno, record.getMessage(), **fields)


def _route_standard_logging(level: int) -> None:
    root = logging.getLogger()
    root.handlers = [_StructlogHandler()]
    root.setLevel(level)
