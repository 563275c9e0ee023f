"""Variants of the request path that the measurement compares."""

import random
from collections.abc import Callable

import msgspec

from cicadatray.internal.bench.requests_simulation.simulated_entry import SimulatedEntry
from cicadatray.internal.entry.adaptive_limit import AdaptiveLimit
from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.endpoint_selector import EndpointSelector
from cicadatray.internal.entry.retry_budget import RetryBudget

NO_LIMIT = 1_000_000
Pick = Callable[[random.Random, list[AgentPeer]], AgentPeer]
pick_rules: dict[str, Pick] = {}


def pick_rule(name: str) -> Callable[[Pick], Pick]:
    """Registers the decorated rule for the choice of an endpoint."""

    def register(rule: Pick) -> Pick:
        pick_rules[name] = rule
        return rule

    return register


@pick_rule("random")
def pick_random(source: random.Random, peers: list[AgentPeer]) -> AgentPeer:
    """Picks any endpoint, regardless of load and failures."""
    return source.choice(peers)


@pick_rule("least")
def pick_least_loaded(source: random.Random, peers: list[AgentPeer]) -> AgentPeer:
    """Picks the least loaded of all endpoints, at random among equals."""
    return min(source.sample(peers, len(peers)), key=AgentPeer.load_score)


@pick_rule("two")
def pick_of_two(source: random.Random, peers: list[AgentPeer]) -> AgentPeer:
    """Picks the less loaded of two random endpoints."""
    return min(source.sample(peers, min(2, len(peers))), key=AgentPeer.load_score)


class RequestVariant(msgspec.Struct, frozen=True):
    """The mechanisms that are enabled; the defaults are those of the product."""

    name: str
    pick: str = "two"
    retry_budget: bool = True
    ejection: bool = True
    fair_queue: bool = True
    adaptive_limit: bool = True


class _VariantSelector(EndpointSelector):
    __slots__ = ("variant",)

    variant: RequestVariant

    def pick(self, peers: list[AgentPeer]) -> AgentPeer:
        if not self.variant.ejection:
            for peer in peers:
                peer.health.failure_rate = 0.0
        return pick_rules[self.variant.pick](self.random, peers)

    def may_eject(self, service: str) -> bool:
        return self.variant.ejection and super().may_eject(service)


class _UnlimitedBudget(RetryBudget):
    __slots__ = ()

    def try_spend(self, now_s: float) -> bool:
        return True


class _NoLimit(AdaptiveLimit):
    __slots__ = ()

    def max_in_flight(self, slots: int) -> int:
        return NO_LIMIT


def apply_variant(variant: RequestVariant, entry: SimulatedEntry, service: str) -> None:
    """Disables the mechanisms of an entry that the variant does not have."""
    resources = entry.requests.resources
    selector = _VariantSelector(entry.directory, resources.metrics.record_ejection)
    selector.variant = variant
    selector.random = resources.selector.random
    resources.selector = selector
    if not variant.retry_budget:
        resources.retry_budget = _UnlimitedBudget()
    if not variant.adaptive_limit:
        resources.admission.service(service).limiter = _NoLimit()
