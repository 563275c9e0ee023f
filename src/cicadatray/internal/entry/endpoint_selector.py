"""The choice of an endpoint for an attempt."""

import random

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.directory_cache import DirectoryCache


class EndpointSelector:
    """Takes the less loaded of two random endpoints.

    Always taking the least loaded one makes all entries send to the same endpoint at once.
    """

    __slots__ = ("directory", "random")

    def __init__(self, directory: DirectoryCache) -> None:
        self.directory = directory
        self.random = random.Random()

    def choose(self, service: str, excluded: set[str]) -> AgentPeer | None:
        """Returns an agent that was not tried before, or None."""
        candidates = [
            peer
            for peer in self.directory.peers_of(service)
            if peer.record.agent_id not in excluded
        ]
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=AgentPeer.score)
