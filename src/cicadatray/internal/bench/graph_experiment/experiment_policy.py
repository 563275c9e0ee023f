"""The policies that experiments compare."""

from collections.abc import Callable, Sequence

from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

Workers = Sequence[WorkerCapacity]
Running = Sequence[RunningWork]
RoundFactory = Callable[[Workers, Running, float], PlacementRound]
experiment_policies: dict[str, RoundFactory] = {}


def experiment_policy(make_round: RoundFactory) -> RoundFactory:
    """Registers a function that creates a round of placement, under its own name."""
    experiment_policies[make_round.__name__] = make_round
    return make_round


class RulePolicy:
    """A policy with these scheduling rules, whose memory lasts for one run of the experiment."""

    __slots__ = ("memory", "rules")

    def __init__(self, rules: SchedulingRules) -> None:
        self.rules = rules
        self.memory = RuleMemory()

    def __call__(self, workers: Workers, running: Running, now_s: float) -> PlacementRound:
        """Returns a round with these rules."""
        return PlacementRound(workers, running, now_s, rules=self.rules, memory=self.memory)


def begin_run(make_round: RoundFactory) -> RoundFactory:
    """Returns the policy with an empty memory."""
    return RulePolicy(make_round.rules) if isinstance(make_round, RulePolicy) else make_round


@experiment_policy
def present(workers: Workers, running: Running, now_s: float) -> PlacementRound:
    """Returns a round with the start limits that control uses."""
    return PlacementRound(workers, running, now_s)


@experiment_policy
def hasty(workers: Workers, running: Running, now_s: float) -> PlacementRound:
    """Returns a round that displaces at once, without waiting for work that is about to end."""
    return PlacementRound(workers, running, now_s, StartLimits(urgent_start_s=0.1))


@experiment_policy
def patient(workers: Workers, running: Running, now_s: float) -> PlacementRound:
    """Returns a round that promises the start of urgent work in twice the time."""
    return PlacementRound(workers, running, now_s, StartLimits(urgent_start_s=5.0))


experiment_policies["worthwhile"] = RulePolicy(SchedulingRules(victims="worthwhile"))
