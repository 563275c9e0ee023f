"""The registry of the programs that run on the platform."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.platform.settings import PlatformSettings


class RoleProgram(Protocol):
    """One process."""

    metrics: MetricsRegistry

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then drains."""

    def reload(self, settings: PlatformSettings) -> None:
        """Takes over settings that have changed."""


RoleFactory = Callable[[PlatformSettings], RoleProgram]
role_factories: dict[str, RoleFactory] = {}


def role(name: str) -> Callable[[RoleFactory], RoleFactory]:
    """Registers the decorated function as the one that builds the program of a role."""

    def register(factory: RoleFactory) -> RoleFactory:
        role_factories[name] = factory
        return factory

    return register
