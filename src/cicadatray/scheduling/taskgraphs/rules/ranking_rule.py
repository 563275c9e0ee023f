"""Rules for the order in which a round tries waiting work."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence

from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.rule_registry import RuleRegistry
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class RankingRule(ABC):
    """Orders waiting work; an instance serves one round."""

    __slots__ = ("view",)

    def __init__(self, view: RoundView) -> None:
        self.view = view

    @abstractmethod
    def iterate(self, waiting: Sequence[WaitingWork]) -> Iterator[WaitingWork | None]:
        """Yields the same work in the order in which the round tries to place it.

        Yields None wherever the round may pause, at least once for some hundred works.
        """

    def order(self, waiting: Sequence[WaitingWork]) -> list[WaitingWork]:
        """Returns the same work in the order in which the round tries to place it."""
        return [work for work in self.iterate(waiting) if work is not None]


rankings: RuleRegistry[type[RankingRule]] = RuleRegistry("ranking")
