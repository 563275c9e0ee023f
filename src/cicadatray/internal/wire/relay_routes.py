"""The relays through which a process can reach control."""

import random

from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.internal.wire.rpc_client import RpcClient


class RelayRoutes:
    """Holds the relays that the leader named last; `active` carries all calls while it is set.

    `unanswered` holds the relays that have not answered their latest call.
    """

    __slots__ = ("active", "clients", "own_name", "unanswered")

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.clients: dict[MemberAddress, RpcClient] = {}
        self.active: MemberAddress | None = None
        self.unanswered: set[MemberAddress] = set()

    def reconcile(self, relays: tuple[MemberAddress, ...]) -> list[MemberAddress]:
        """Releases clients of relays that are no longer named, and returns relays without a client.

        The active relay is kept. An empty list is ignored, because a new leader has no relays until
        they have called it.
        """
        if not relays:
            return []
        for unlisted in [relay for relay in self.clients if relay not in relays]:
            if unlisted != self.active:
                self.clients.pop(unlisted).release()
                self.unanswered.discard(unlisted)
        others = (relay for relay in relays if relay.name != self.own_name)
        return [relay for relay in others if relay not in self.clients]

    def choose(self, count: int) -> list[MemberAddress]:
        """Returns up to `count` relays at random; relays that did not answer come last."""
        relays = random.sample(list(self.clients), len(self.clients))
        relays.sort(key=lambda relay: relay in self.unanswered)
        return relays[:count]

    def record_answer(self, relay: MemberAddress) -> None:
        """Records that a relay answered a call, whether it reached control or not."""
        self.unanswered.discard(relay)

    def record_silence(self, relay: MemberAddress) -> None:
        """Records that a relay did not answer a call."""
        if relay in self.clients:
            self.unanswered.add(relay)

    def deactivate(self, relay: MemberAddress) -> None:
        """Stops the use of a relay; another one that has become active meanwhile is kept."""
        if self.active == relay:
            self.active = None
