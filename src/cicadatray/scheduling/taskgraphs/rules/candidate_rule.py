"""Rules for which workers may take a work, and in which order."""

from abc import ABC, abstractmethod
from collections.abc import Hashable, Sequence
from typing import ClassVar

from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.rule_registry import RuleRegistry
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class CandidateRule(ABC):
    """Chooses the workers for waiting work; an instance serves one round.

    Only if `uses_speeds` is set does the leader estimate the speeds of workers.
    """

    __slots__ = ("view",)
    uses_speeds: ClassVar[bool] = False

    def __init__(self, view: RoundView) -> None:
        self.view = view

    @abstractmethod
    def groups(self, work: WaitingWork, usable: list[WorkerCapacity]) -> list[list[WorkerCapacity]]:
        """Returns the sets of workers that may take the work, the preferred set first.

        `usable` are the workers of its pool that have the required label.
        """

    def shape(self, work: WaitingWork) -> Hashable | None:
        """Returns what the groups of the work and their use follow from in one round.

        While the state of the round does not change, all work of one shape fits or none. None if
        each work has to be tried.
        """
        return None

    def fill_order(self, work: WaitingWork) -> FillOrder | None:
        """Returns the order in which workers are filled, or None for the fullest first."""
        return None

    def may_use(self, work: WaitingWork, chosen: Sequence[WorkerCapacity]) -> bool:
        """Returns whether the work should start on these workers now, which have free capacity.

        If not, it waits or is tried on the next group.
        """
        return True

    def groups_to_clear(
        self, work: WaitingWork, groups: list[list[WorkerCapacity]]
    ) -> list[list[WorkerCapacity]]:
        """Returns those of its groups on which work that does not fit now waits or displaces."""
        return groups


candidate_rules: RuleRegistry[type[CandidateRule]] = RuleRegistry("candidates")
