"""The registry of disturbances."""

from collections.abc import Awaitable, Callable

import msgspec

from nocover.configuration_soak.site import Site

Action = Callable[[Site], Awaitable[None]]


class Disturbance(msgspec.Struct, frozen=True):
    """A disturbance; one that loses a disk needs a core that is whole before and after it.

    One that `needs_workers` is played only in deployments with agents and workers.
    """

    name: str
    act: Action
    loses_disk: bool
    needs_workers: bool


DISTURBANCES: dict[str, Disturbance] = {}


def disturbance(
    name: str, loses_disk: bool = False, needs_workers: bool = False
) -> Callable[[Action], Action]:
    """Registers the decorated function."""

    def register(act: Action) -> Action:
        DISTURBANCES[name] = Disturbance(name, act, loses_disk, needs_workers)
        return act

    return register
