"""The rules that a deployment has chosen."""

import msgspec

# These modules are imported because they register rules.
from cicadatray.scheduling.taskgraphs.rules import (
    accept_all,
    by_account,
    by_job,
    by_speed,
    cheapest,
    fair_latest_start,
    feasible,
    latest_start,
    least_cost,
    packed,
    worthwhile,
)
from cicadatray.scheduling.taskgraphs.rules.admission_rule import AdmissionRule, admission_rules
from cicadatray.scheduling.taskgraphs.rules.candidate_rule import CandidateRule, candidate_rules
from cicadatray.scheduling.taskgraphs.rules.guarantee_rule import GuaranteeRule, guarantee_rules
from cicadatray.scheduling.taskgraphs.rules.ranking_rule import RankingRule, rankings
from cicadatray.scheduling.taskgraphs.rules.victim_rule import VictimRule, victim_rules

RULE_MODULES = (
    accept_all,
    by_account,
    by_job,
    by_speed,
    cheapest,
    fair_latest_start,
    feasible,
    latest_start,
    least_cost,
    packed,
    worthwhile,
)


class SchedulingRules(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Rules for task graphs, one of each kind, by the names under which they are registered."""

    ranking: str = "latest_start"
    """The order in which waiting work is tried."""
    candidates: str = "packed"
    """The workers that may take a work, and the order in which they are filled."""
    victims: str = "cheapest"
    """The running work that gives way to urgent work."""
    guarantees: str = "by_account"
    """The urgent jobs that the guarantee of their account covers."""
    admission: str = "accept_all"
    """The jobs that are accepted."""

    def find_ranking(self) -> type[RankingRule]:
        """Returns the rule for the order of waiting work."""
        return rankings.find(self.ranking)

    def find_candidates(self) -> type[CandidateRule]:
        """Returns the rule for the workers that may take a work."""
        return candidate_rules.find(self.candidates)

    def find_victims(self) -> type[VictimRule]:
        """Returns the rule for the running work that gives way."""
        return victim_rules.find(self.victims)

    def find_guarantees(self) -> GuaranteeRule:
        """Returns the rule for the jobs that guarantees cover."""
        return guarantee_rules.find(self.guarantees)

    def find_admission(self) -> AdmissionRule:
        """Returns the rule for the jobs that are accepted."""
        return admission_rules.find(self.admission)


DEFAULT_RULES = SchedulingRules()
RULE_NAMES: dict[str, tuple[str, ...]] = {
    "ranking": tuple(rankings.rules),
    "candidates": tuple(candidate_rules.rules),
    "victims": tuple(victim_rules.rules),
    "guarantees": tuple(guarantee_rules.rules),
    "admission": tuple(admission_rules.rules),
}
