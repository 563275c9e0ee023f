"""The relays through which a process can reach control."""

import random

from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.internal.wire.rpc_client import RpcClient


class RelayRoutes:
    """Holds the relays that the leader named last; `active` carries all calls while it is set."""

    __slots__ = ("active", "clients", "own_name")

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.clients: dict[MemberAddress, RpcClient] = {}
        self.active: MemberAddress | None = None

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
        others = (relay for relay in relays if relay.name != self.own_name)
        return [relay for relay in others if relay not in self.clients]

    def activate_random(self) -> None:
        """Activates a random relay, if there is one."""
        if self.clients:
            self.active = random.choice(list(self.clients))

    def active_client(self) -> RpcClient | None:
        """Returns the client of the active relay, or None without one."""
        return self.clients.get(self.active) if self.active else None
