"""The specifications that `./build.sh model` checks, in the order of registration."""

from collections.abc import Callable

from cicadatray.internal.models.specification import Specification

SPECIFICATIONS: dict[str, Specification] = {}


def registered_specification(build: Callable[[], Specification]) -> Callable[[], Specification]:
    """Adds the specification that the decorated function returns to the registry."""
    specification = build()
    SPECIFICATIONS[specification.name] = specification
    return build
