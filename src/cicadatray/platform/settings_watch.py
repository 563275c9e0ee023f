"""Rereads the settings file while a process runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog

from cicadatray.platform.errors import PlatformSettingsError
from cicadatray.platform.settings import PlatformSettings, load_platform_settings

# A process that learns of new seeds this late still has the addresses of the members it has found.
POLL_INTERVAL_S = 2.0

log = structlog.get_logger(__name__)


class SettingsWatch:
    """Applies the settings file when a signal announces a change, and when it differs.

    The platform may replace the file without a signal, or while the process starts and ignores
    signals. `applied` are the settings in effect. `content` is what was read last, valid or not, so
    that each content is tried once.
    """

    __slots__ = ("applied", "apply", "content", "path")

    def __init__(
        self, path: Path, applied: PlatformSettings, apply: Callable[[PlatformSettings], None]
    ) -> None:
        self.path = path
        self.applied = applied
        self.apply = apply
        self.content: bytes | None = None

    async def run(self) -> None:
        """Polls the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            content = self._read()
            if content == self.content:
                continue
            self.content = content
            settings = self._load()
            if settings is not None and settings != self.applied:
                self._apply(settings)

    def reload(self) -> None:
        """Loads the file and applies it, or keeps the present settings if it is not valid."""
        settings = self._load()
        if settings is not None:
            self._apply(settings)

    def _load(self) -> PlatformSettings | None:
        try:
            return load_platform_settings(self.path)
        except PlatformSettingsError as error:
            log.error("settings not reloaded", reason=str(error))
            return None

    def _apply(self, settings: PlatformSettings) -> None:
        self.apply(settings)
        self.applied = settings
        log.info("settings reloaded", seeds=[seed.host for seed in settings.seeds])

    def _read(self) -> bytes | None:
        """Returns the content of the file, or None if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError as error:
            log.debug("settings file not readable", reason=str(error))
            return None
