"""The policies that experiments compare."""

from collections.abc import Callable, Sequence

from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import DEFAULT_RULES, SchedulingRules
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

Workers = Sequence[WorkerCapacity]
Running = Sequence[RunningWork]
RoundFactory = Callable[[Workers, Running, float], PlacementRound]
experiment_policies: dict[str, RoundFactory] = {}
# Policies that are a choice of registered rules; others use the default rules.
ruled_policies: dict[str, SchedulingRules] = {
    "by_speed": SchedulingRules(candidates="by_speed"),
    "true_speeds": SchedulingRules(candidates="by_speed"),
}
# Policies that are told the true speeds of the workers, as an upper bound.
TOLD_POLICIES = frozenset(("true_speeds",))


def experiment_policy(make_round: RoundFactory) -> RoundFactory:
    """Registers a function that creates a round of placement, under its own name."""
    experiment_policies[make_round.__name__] = make_round
    return make_round


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


def rules_of(policy: str) -> SchedulingRules:
    """Returns the rules of a policy."""
    return ruled_policies.get(policy, DEFAULT_RULES)


def make_policy(policy: str) -> RoundFactory:
    """Returns a factory of rounds for one run; the rules of each run have a memory of their own."""
    if policy not in ruled_policies:
        return experiment_policies[policy]
    rules, memory = ruled_policies[policy], RuleMemory()

    def make_round(workers: Workers, running: Running, now_s: float) -> PlacementRound:
        return PlacementRound(workers, running, now_s, rules=rules, memory=memory)

    return make_round


def policy_names() -> tuple[str, ...]:
    """Returns the names of all policies, the present one first."""
    return (*experiment_policies, *ruled_policies)


ruled_policies["worthwhile"] = SchedulingRules(victims="worthwhile")
ruled_policies["least_cost"] = SchedulingRules(ranking="least_cost")
ruled_policies["least_cost_worthwhile"] = SchedulingRules(
    ranking="least_cost", victims="worthwhile"
)
