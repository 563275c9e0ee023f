"""The choice of an endpoint for an attempt."""

import asyncio
import random
from collections.abc import Callable

import msgspec
import structlog

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.attempt_verdict import Verdict
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.health_lifecycle import HealthState

# Ejecting more would move their load onto the rest, which would then fail for lack of slots.
EJECTED_SHARE_LIMIT = 1 / 3
# A probe with a non-idempotent request risks an unknown outcome, so an endpoint waits this long
# for an idempotent one.
NON_IDEMPOTENT_PROBE_AFTER_S = 5.0

log = structlog.get_logger(__name__)


class EndpointChoice(msgspec.Struct, frozen=True):
    """`probe` marks the single request that tests an ejected endpoint."""

    peer: AgentPeer
    probe: bool = False


class EndpointSelector:
    """Takes the less loaded of two random endpoints, and keeps the health of all.

    Always taking the least loaded one makes all entries send to the same endpoint at once.
    """

    __slots__ = ("directory", "on_ejection", "random")

    def __init__(
        self, directory: DirectoryCache, on_ejection: Callable[[str], None] | None = None
    ) -> None:
        self.directory = directory
        self.on_ejection = on_ejection
        self.random = random.Random()

    def choose(
        self, service: str, excluded: set[str], non_idempotent: bool = False
    ) -> EndpointChoice | None:
        """Returns an agent that was not tried before, or None."""
        peers = self.directory.peers_of(service)
        candidates = [peer for peer in peers if peer.record.agent_id not in excluded]
        due = [peer for peer in candidates if self._is_probe_due(peer, non_idempotent)]
        if due:
            return self._probe(due[0])
        healthy = [peer for peer in candidates if peer.health.state is HealthState.HEALTHY]
        if healthy:
            return EndpointChoice(self.pick(healthy))
        if any(peer.health.state is HealthState.HEALTHY for peer in peers):
            return None
        # All healthy ones have left: an early probe is better than a refusal.
        untested = [peer for peer in candidates if not peer.health.probe_in_flight]
        return self._probe(untested[0]) if untested else None

    def pick(self, peers: list[AgentPeer]) -> AgentPeer:
        """Returns the less loaded of two random ones."""
        pair = self.random.sample(peers, min(2, len(peers)))
        return min(pair, key=AgentPeer.load_score)

    def report(self, choice: EndpointChoice, verdict: Verdict) -> None:
        """Takes what an attempt told about the endpoint."""
        now_s = asyncio.get_running_loop().time()
        health = choice.peer.health
        if choice.probe:
            failed = None if verdict is Verdict.NEUTRAL else verdict is Verdict.FAILURE
            health.end_probe(failed, now_s)
            return
        if verdict is Verdict.NEUTRAL or health.state is not HealthState.HEALTHY:
            return
        health.record(verdict is Verdict.FAILURE, now_s)
        if health.should_be_ejected() and self.may_eject(choice.peer.record.service):
            health.eject(now_s)
            agent_id = choice.peer.record.agent_id
            log.warning("endpoint ejected", agent_id=agent_id, ejections=health.ejections)
            if self.on_ejection is not None:
                self.on_ejection(agent_id)

    def may_eject(self, service: str) -> bool:
        """Tells whether another endpoint of the service may be ejected."""
        peers = self.directory.all_peers_of(service)
        ejected = sum(1 for peer in peers if peer.health.state is not HealthState.HEALTHY)
        return ejected + 1 <= len(peers) * EJECTED_SHARE_LIMIT

    def _is_probe_due(self, peer: AgentPeer, non_idempotent: bool) -> bool:
        now_s = asyncio.get_running_loop().time()
        if non_idempotent:
            now_s -= NON_IDEMPOTENT_PROBE_AFTER_S
            if peer.health.state is HealthState.PROBING and now_s < peer.health.ejected_until_s:
                return False
        return peer.health.is_probe_due(now_s)

    def _probe(self, peer: AgentPeer) -> EndpointChoice:
        peer.health.start_probe()
        return EndpointChoice(peer, probe=True)
