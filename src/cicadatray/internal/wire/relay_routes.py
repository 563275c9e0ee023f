"""Processes that may pass on calls to control."""

import random

from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.internal.wire.rpc_client import RpcClient


class RelayRoutes:
    """The relays that the leader named last; `active` carries all calls while it is set."""

    __slots__ = ("active", "clients", "own_name")

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.clients: dict[MemberAddress, RpcClient] = {}
        self.active: MemberAddress | None = None

    def missing(self, relays: tuple[MemberAddress, ...]) -> list[MemberAddress]:
        """Returns relays without a client yet, and forgets those that are not named any more.

        An empty list is no news: a new leader has not heard of its relays yet.
        """
        if not relays:
            return []
        for known in [relay for relay in self.clients if relay not in relays]:
            if known != self.active:
                self.clients.pop(known).release()
        others = (relay for relay in relays if relay.name != self.own_name)
        return [relay for relay in others if relay not in self.clients]

    def choose(self) -> None:
        """Makes some relay the active one, if there is any."""
        if self.clients:
            self.active = random.choice(list(self.clients))

    def active_client(self) -> RpcClient | None:
        """Returns the client of the active relay."""
        return self.clients.get(self.active) if self.active else None
