"""The registry of the roles that run on the platform."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.platform.settings import PlatformSettings


class RoleProgram(Protocol):
    """The program of a role, run as one process."""

    metrics: MetricsRegistry

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then drains."""

    def reload(self, settings: PlatformSettings) -> None:
        """Applies changed settings."""


RoleFactory = Callable[[PlatformSettings], RoleProgram]
role_factories: dict[str, RoleFactory] = {}


def role(name: str) -> Callable[[RoleFactory], RoleFactory]:
    """Registers the decorated function as the factory of a role's program."""

    def register(factory: RoleFactory) -> RoleFactory:
        role_factories[name] = factory
        return factory

    return register
