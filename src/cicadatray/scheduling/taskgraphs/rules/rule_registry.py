"""A registry of rules of one kind."""

from collections.abc import Callable
from typing import Generic, TypeVar

from cicadatray.scheduling.errors import UnknownRuleError

RuleType = TypeVar("RuleType")


class RuleRegistry(Generic[RuleType]):
    """Rules of one kind by the names that settings use for them."""

    __slots__ = ("kind", "rules")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.rules: dict[str, RuleType] = {}

    def register(self, name: str) -> Callable[[RuleType], RuleType]:
        """Returns a decorator that registers a rule under a name."""

        def add(rule: RuleType) -> RuleType:
            self.rules[name] = rule
            return rule

        return add

    def find(self, name: str) -> RuleType:
        """Returns the rule of this name.

        Raises:
            UnknownRuleError: no rule of this kind has the name.
        """
        try:
            return self.rules[name]
        except KeyError:
            registered = ", ".join(sorted(self.rules))
            raise UnknownRuleError(
                f"unknown {self.kind} rule {name!r}, registered: {registered}"
            ) from None
