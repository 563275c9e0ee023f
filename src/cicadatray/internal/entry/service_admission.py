"""Admission of the requests to one service."""

import asyncio

from cicadatray.internal.entry.adaptive_limit import AdaptiveLimit, ServiceLoad
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.fair_queue import FairQueue
from cicadatray.internal.entry.health_lifecycle import HealthState
from cicadatray.internal.entry.queue_ticket import QueueTicket, TurnResult

MEAN_HOLD_WEIGHT = 0.1
# Accounts with requests shorter than the mean must not be turned away for the others' long ones.
RUN_TIME_SHARE = 0.75
RETRY_AFTER_FLOOR_S = 0.1


class ServiceAdmission:
    """The queue before the service's endpoints, and the turns in use.

    `mean_hold_s` is the moving mean of the time for which a turn is held.
    """

    __slots__ = ("directory", "in_use", "limiter", "mean_hold_s", "queue", "service")

    def __init__(self, service: str, directory: DirectoryCache) -> None:
        self.service = service
        self.directory = directory
        self.queue = FairQueue()
        self.limiter = AdaptiveLimit()
        self.in_use = 0
        self.mean_hold_s = 0.0

    def load(self) -> ServiceLoad:
        """Returns what is known of the endpoints that may be used."""
        loads = [
            peer.load
            for peer in self.directory.peers_of(self.service)
            if peer.health.state is HealthState.HEALTHY
        ]
        slots = sum(load.slots for load in loads)
        return ServiceLoad(slots, sum(load.queued for load in loads))

    def slots(self) -> int:
        """Returns the slots of the endpoints that may be used."""
        return self.load().slots

    def turns(self) -> int:
        """Returns how many requests may be in progress now."""
        return self.limiter.max_in_flight(self.slots())

    def has_free_turn(self) -> bool:
        """Tells whether a request may run without waiting."""
        return self.queue.length == 0 and self.in_use < self.turns()

    def estimated_wait_s(self, client_account: str) -> float:
        """Returns how long a new request of this account would wait, zero before any ended."""
        weight = self.directory.weight_of(client_account)
        return (self.queue.turns_before(client_account, weight) + 1) * self._time_per_turn_s()

    def run_time_s(self) -> float:
        """Returns the time that a request needs after its turn has come.

        One that starts later would probably end as unknown, and its slot would be wasted.
        """
        return self.mean_hold_s * RUN_TIME_SHARE

    def retry_after_s(self, client_account: str) -> float:
        """Returns when a new request of this account would find a shorter queue."""
        return max(RETRY_AFTER_FLOOR_S, self.estimated_wait_s(client_account))

    def dispatch(self) -> None:
        """Gives free turns to waiting requests."""
        turns = self.turns()
        latest_s = asyncio.get_running_loop().time() + self.run_time_s()
        while self.in_use < turns:
            ticket = self.queue.pop()
            if ticket is None:
                return
            if ticket.deadline_s < latest_s:
                ticket.turn.set_result(TurnResult.TOO_LATE)
                continue
            self.in_use += 1
            ticket.turn.set_result(TurnResult.GRANTED)

    def leave(self, held_s: float) -> None:
        """Gives a turn back."""
        self.in_use -= 1
        known = self.mean_hold_s
        self.mean_hold_s = known + (held_s - known) * (MEAN_HOLD_WEIGHT if known else 1.0)
        self.dispatch()

    def observe_reply(self) -> None:
        """Adapts the limit after an agent's reply, whose load the peer has taken."""
        now_s = asyncio.get_running_loop().time()
        self.limiter.observe_reply(self.load(), self.in_use, self.mean_hold_s, now_s)

    def observe_refusal(self) -> None:
        """Adapts the limit after a refusal for lack of slots."""
        now_s = asyncio.get_running_loop().time()
        self.limiter.observe_refusal(self.load(), self.mean_hold_s, now_s)

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
