"""Selection of an endpoint for an attempt."""

import asyncio
import random
from collections.abc import Callable

import msgspec
import structlog

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.attempt_verdict import Verdict
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.health_lifecycle import HealthState

# If more were ejected, the remaining endpoints would not have enough slots for the load.
MAX_EJECTED_SHARE = 1 / 3
# A probe with a non-idempotent request risks an unknown outcome, so a due probe waits this long for
# an idempotent request.
NON_IDEMPOTENT_PROBE_DELAY_S = 5.0

log = structlog.get_logger(__name__)


class EndpointChoice(msgspec.Struct, frozen=True):
    """A selected endpoint; `probe` marks the single request that tests an ejected one."""

    peer: AgentPeer
    probe: bool = False


class EndpointSelector:
    """Selects the less loaded of two random endpoints and updates the health of endpoints.

    If all entries chose the least loaded endpoint, they would all send to the same one.
    `on_ejection` is called with the ID of the agent whose endpoint is ejected.
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
        """Returns an endpoint whose agent is not in `excluded`, or None if there is none."""
        peers = self.directory.peers_of(service)
        candidates = [peer for peer in peers if peer.record.agent_id not in excluded]
        due_for_probe = [peer for peer in candidates if self._is_probe_due(peer, non_idempotent)]
        if due_for_probe:
            return self._start_probe(due_for_probe[0])
        healthy = [peer for peer in candidates if peer.health.state is HealthState.HEALTHY]
        if healthy:
            return EndpointChoice(self.pick(healthy))
        if any(peer.health.state is HealthState.HEALTHY for peer in peers):
            return None
        # No healthy endpoint accepts work, so an early probe is better than a refusal.
        unprobed = [peer for peer in candidates if not peer.health.probe_in_flight]
        return self._start_probe(unprobed[0]) if unprobed else None

    def pick(self, peers: list[AgentPeer]) -> AgentPeer:
        """Returns the less loaded of two random peers."""
        pair = self.random.sample(peers, min(2, len(peers)))
        return min(pair, key=AgentPeer.load_score)

    def record_verdict(self, choice: EndpointChoice, verdict: Verdict) -> None:
        """Updates the health of an endpoint after an attempt and ejects it if necessary."""
        now_s = asyncio.get_running_loop().time()
        health = choice.peer.health
        if choice.probe:
            failed = None if verdict is Verdict.NEUTRAL else verdict is Verdict.FAILURE
            health.end_probe(failed, now_s)
            return
        if verdict is Verdict.NEUTRAL or health.state is not HealthState.HEALTHY:
            return
        health.record_result(verdict is Verdict.FAILURE, now_s)
        if health.should_be_ejected() and self.may_eject(choice.peer.record.service):
            health.eject(now_s)
            agent_id = choice.peer.record.agent_id
            log.warning("endpoint ejected", agent_id=agent_id, ejections=health.ejections)
            if self.on_ejection is not None:
                self.on_ejection(agent_id)

    def may_eject(self, service: str) -> bool:
        """Returns whether one more endpoint of the service may be ejected."""
        peers = self.directory.all_peers_of(service)
        ejected = sum(1 for peer in peers if peer.health.state is not HealthState.HEALTHY)
        return ejected + 1 <= len(peers) * MAX_EJECTED_SHARE

    def _is_probe_due(self, peer: AgentPeer, non_idempotent: bool) -> bool:
        now_s = asyncio.get_running_loop().time()
        if non_idempotent:
            now_s -= NON_IDEMPOTENT_PROBE_DELAY_S
            if peer.health.state is HealthState.PROBING and now_s < peer.health.ejected_until_s:
                return False
        return peer.health.is_probe_due(now_s)

    def _start_probe(self, peer: AgentPeer) -> EndpointChoice:
        peer.health.start_probe()
        return EndpointChoice(peer, probe=True)
