"""The registry of scheduling policies."""

from collections.abc import Callable
from typing import TypeVar

from cicadatray.scheduling.errors import UnknownPolicyError

PolicyType = TypeVar("PolicyType", bound=type)
policies: dict[str, type] = {}


def scheduling_policy(name: str) -> Callable[[PolicyType], PolicyType]:
    """Registers the decorated policy class under a name that rules refer to."""

    def register(policy_type: PolicyType) -> PolicyType:
        policies[name] = policy_type
        return policy_type

    return register


def find_policy(name: str) -> type:
    """Returns the policy class.

    Raises:
        UnknownPolicyError: no policy has this name.
    """
    try:
        return policies[name]
    except KeyError:
        registered = ", ".join(sorted(policies))
        raise UnknownPolicyError(f"unknown policy {name!r}, registered: {registered}") from None
