"""Checks that the configuration version of an entry never decreases."""

import asyncio

import msgspec

from cicadatray.internal.bench.deployment.caller import Caller
from cicadatray.internal.bench.deployment.operator import DirectoryView

WATCH_INTERVAL_S = 0.2


class VersionWatch:
    """Polls every entry; `reverted` counts answers with a lower version than the one before."""

    __slots__ = ("caller", "last_versions", "reverted", "urls")

    def __init__(self, caller: Caller, urls: list[str]) -> None:
        self.caller = caller
        self.urls = urls
        self.last_versions: dict[str, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            for url in self.urls:
                await self._poll(url)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def reset(self, url: str) -> None:
        """Discards the last version of an entry that was restarted, as it starts without one."""
        self.last_versions.pop(url, None)

    async def _poll(self, url: str) -> None:
        answer = await self.caller.send_once("GET", "/v1/directory", url=url)
        if answer.status_code != 200:
            return
        version = msgspec.json.decode(answer.body, type=DirectoryView).configuration_version
        self.reverted += version < self.last_versions.get(url, 0)
        self.last_versions[url] = version
