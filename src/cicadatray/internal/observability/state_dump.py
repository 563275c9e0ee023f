"""State dumps for operators."""

import asyncio
import os
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import structlog

from cicadatray.internal.observability.dump_limits import (
    DUMP_LIMIT_BYTES,
    encode_within_limit,
    truncate_value,
)
from cicadatray.internal.observability.errors import DumpError
from cicadatray.internal.observability.redaction import redact

# Returns a part of the state of the process, as plain data or structs.
Provider = Callable[[], Any]
ProviderType = TypeVar("ProviderType", bound=Provider)
DUMP_SIGNAL = signal.SIGUSR1

log = structlog.get_logger(__name__)


class StateDump:
    """Renders the state from registered providers as JSON, bounded in size and redacted."""

    __slots__ = ("folder", "limit_bytes", "process_name", "providers")

    def __init__(
        self, folder: Path, process_name: str, limit_bytes: int = DUMP_LIMIT_BYTES
    ) -> None:
        self.folder = folder
        self.process_name = process_name
        self.limit_bytes = limit_bytes
        self.providers: dict[str, Provider] = {}

    def provider(self, name: str) -> Callable[[ProviderType], ProviderType]:
        """Returns a decorator that registers a function without arguments.

        The function returns plain data or structs.
        """

        def register(provider: ProviderType) -> ProviderType:
            self.register(name, provider)
            return provider

        return register

    def register(self, name: str, provider: Provider) -> None:
        """Registers a function or bound method under a name.

        Raises:
            DumpError: the name is already in use.
        """
        if name in self.providers:
            raise DumpError(f"state dump has two providers named {name}")
        self.providers[name] = provider

    def render(self) -> bytes:
        """Returns the dump as a JSON object with one member for each provider, at most
        `limit_bytes` long.

        The largest sections are omitted first. If a provider raises, its section is the error.
        """
        sections = {name: self._render_section(name) for name in self.providers}
        return encode_within_limit(self._header(), sections, self.limit_bytes)

    def write(self) -> Path:
        """Writes the dump to the dump folder atomically and returns the path of the file.

        Raises:
            DumpError: the folder cannot be written.
        """
        path = self.folder / f"cicadatray-dump-{self.process_name}.json"
        try:
            self._write_atomically(path, self.render())
        except OSError as error:
            raise DumpError(f"{path}: {error.strerror}") from error
        log.info("state dump written", path=str(path))
        return path

    def install_signal(self, loop: asyncio.AbstractEventLoop) -> None:
        """Makes the event loop write a dump each time the process receives `DUMP_SIGNAL`."""
        loop.add_signal_handler(DUMP_SIGNAL, self._write_or_log)

    def _header(self) -> dict[str, Any]:
        written_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        return {"process": self.process_name, "written": written_at}

    def _render_section(self, name: str) -> bytes:
        try:
            return msgspec.json.encode(truncate_value(redact(self.providers[name]())))
        except Exception as error:  # one faulty provider must not hide the others
            log.exception("state dump provider failed", provider=name)
            return msgspec.json.encode({"error": f"{type(error).__name__}: {redact(str(error))}"})

    def _write_atomically(self, path: Path, data: bytes) -> None:
        descriptor, temporary_path = tempfile.mkstemp(dir=self.folder, prefix=f".{path.name}.")
        try:
            with os.fdopen(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary_path, path)
        except OSError:
            Path(temporary_path).unlink(missing_ok=True)
            raise

    def _write_or_log(self) -> None:
        try:
            self.write()
        except DumpError as error:
            log.error("state dump not written", reason=str(error))
