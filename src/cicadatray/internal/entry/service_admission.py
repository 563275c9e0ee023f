"""Admission of the requests to one service."""

import asyncio

from cicadatray.internal.entry.adaptive_limit import AdaptiveLimit
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.fair_queue import FairQueue
from cicadatray.internal.entry.health_lifecycle import HealthState
from cicadatray.internal.entry.queue_ticket import QueueTicket, TurnResult
from cicadatray.internal.wire.messages.attempt_messages import AgentLoad

MEAN_HOLD_WEIGHT = 0.1
RETRY_AFTER_FLOOR_S = 0.1


class ServiceAdmission:
    """The queue before the service's endpoints, and the turns in use.

    `mean_hold_s` is the moving mean of the time for which a turn is held.
    """

    __slots__ = ("directory", "in_use", "limit", "mean_hold_s", "queue", "service")

    def __init__(self, service: str, directory: DirectoryCache) -> None:
        self.service = service
        self.directory = directory
        self.queue = FairQueue()
        self.limit = AdaptiveLimit()
        self.in_use = 0
        self.mean_hold_s = 0.0

    def slots(self) -> int:
        """Returns the slots of the endpoints that may be used."""
        usable = [
            peer
            for peer in self.directory.peers_of(self.service)
            if peer.health.state is HealthState.HEALTHY
        ]
        return sum(peer.load.slots for peer in usable)

    def turns(self) -> int:
        """Returns how many requests may be in progress now."""
        return self.limit.limit(self.slots())

    def has_free_turn(self) -> bool:
        """Tells whether a request may run without waiting."""
        return self.queue.length == 0 and self.in_use < self.turns()

    def estimated_wait_s(self, client_account: str) -> float:
        """Returns how long a new request of this account would wait, zero before any ended."""
        weight = self.directory.weight_of(client_account)
        return (self.queue.turns_before(client_account, weight) + 1) * self._time_per_turn_s()

    def retry_after_s(self, client_account: str) -> float:
        """Returns when a new request of this account would find a shorter queue."""
        return max(RETRY_AFTER_FLOOR_S, self.estimated_wait_s(client_account))

    def dispatch(self) -> None:
        """Gives free turns to waiting requests."""
        turns = self.turns()
        while self.in_use < turns:
            ticket = self.queue.pop()
            if ticket is None:
                return
            self.in_use += 1
            ticket.turn.set_result(TurnResult.GRANTED)

    def leave(self, held_s: float) -> None:
        """Gives a turn back."""
        self.in_use -= 1
        known = self.mean_hold_s
        self.mean_hold_s = known + (held_s - known) * (MEAN_HOLD_WEIGHT if known else 1.0)
        self.dispatch()

    def observe_reply(self, load: AgentLoad) -> None:
        """Takes the load that came with an agent's reply."""
        now_s = asyncio.get_running_loop().time()
        self.limit.observe_reply(load, self.slots(), self.in_use, self.mean_hold_s, now_s)

    def observe_refusal(self) -> None:
        """Takes a refusal for lack of slots."""
        now_s = asyncio.get_running_loop().time()
        self.limit.observe_refusal(self.slots(), self.mean_hold_s, now_s)

    def displace(self) -> QueueTicket | None:
        """Takes the place of the newest request of the account that has the most waiting."""
        line = self.queue.longest_line()
        if line is None:
            return None
        ticket = self.queue.displace_last(line)
        ticket.turn.set_result(TurnResult.DISPLACED)
        return ticket

    def _time_per_turn_s(self) -> float:
        return self.mean_hold_s / self.turns()
