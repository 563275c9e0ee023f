"""Rules for the running work that gives way to urgent work."""

from abc import ABC, abstractmethod
from collections.abc import Generator, Mapping, Sequence

from cicadatray.scheduling.taskgraphs.displacement import Displacement, stop_costs
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.rules.rule_registry import RuleRegistry
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.stoppable_work import StoppableWork
from cicadatray.scheduling.taskgraphs.task_fit import FillOrder
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class VictimRule(ABC):
    """Chooses running work to displace for urgent work; an instance serves one round.

    `costs` holds what the round has asked `costs_of`.
    """

    __slots__ = ("costs", "view")

    def __init__(self, view: RoundView) -> None:
        self.view = view
        self.costs: dict[RunningWork, tuple[float, float]] = {}

    def observe(self, waiting: Sequence[WaitingWork]) -> None:  # noqa: B027
        """Is called with all waiting work before the round places any."""

    @abstractmethod
    def candidates(self, work: WaitingWork) -> list[RunningWork]:
        """Returns the running work that may give way to this urgent work."""

    @abstractmethod
    def find(
        self,
        work: WaitingWork,
        group: Sequence[WorkerCapacity],
        candidates: StoppableWork,
        limits: Mapping[str, int] | None,
        fill_order: FillOrder | None,
    ) -> Generator[None, None, Displacement | None]:
        """Returns what to stop so that the work fits in a group, or None if nothing suffices.

        `limits` gives how many more tasks of the step each worker may take, or is None without
        such a limit. Yields wherever the caller may pause.
        """

    def costs_of(self, victim: RunningWork) -> tuple[float, float]:
        """Returns the cost of stopping one work and the value that its job loses."""
        costs = self.costs.get(victim)
        if costs is None:
            costs = self.costs[victim] = self.compute_costs(victim)
        return costs

    def compute_costs(self, victim: RunningWork) -> tuple[float, float]:
        """Returns the same as `costs_of`, which asks once for each work."""
        return stop_costs(victim)

    @abstractmethod
    def is_worthwhile(self, work: WaitingWork, displacement: Displacement) -> bool:
        """Returns whether the work justifies the displacement, whose `value` the rule sets."""

    def displaced(self, work: WaitingWork, displacement: Displacement) -> None:  # noqa: B027
        """Is called once the round has decided on a displacement."""

    def is_reserved_without_displacement(self, work: WaitingWork) -> bool:
        """Returns whether urgent work that neither fits nor displaces reserves capacity."""
        return False


victim_rules: RuleRegistry[type[VictimRule]] = RuleRegistry("victims")
