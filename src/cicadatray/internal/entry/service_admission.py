"""Admission of the requests to one service."""

import asyncio

from cicadatray.internal.entry.adaptive_limit import AdaptiveLimit, ServiceLoad
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.fair_queue import FairQueue
from cicadatray.internal.entry.health_lifecycle import HealthState
from cicadatray.internal.entry.queue_ticket import QueueTicket, TicketOutcome

MEAN_HOLD_WEIGHT = 0.1
# Below 1, so that accounts whose requests are shorter than the mean are not rejected because of the
# long requests of other accounts.
EXPECTED_RUN_SHARE = 0.75
MIN_RETRY_AFTER_S = 0.1


class ServiceAdmission:
    """The queue of a service and the permits for its endpoints.

    A request needs a permit while it is in progress; `in_use` counts the permits held.
    `mean_hold_s` is the moving average of the time for which a permit is held.
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
        """Returns the last reported load of the healthy endpoints that accept work."""
        loads = [
            peer.load
            for peer in self.directory.peers_of(self.service)
            if peer.health.state is HealthState.HEALTHY
        ]
        slots = sum(load.slots for load in loads)
        return ServiceLoad(slots, sum(load.queued for load in loads))

    def slots(self) -> int:
        """Returns the number of slots of the healthy endpoints that accept work."""
        return self.load().slots

    def concurrency_limit(self) -> int:
        """Returns how many requests may currently be in progress."""
        return self.limiter.max_in_flight(self.slots())

    def has_free_permit(self) -> bool:
        """Returns whether a request may start without queueing."""
        return self.queue.length == 0 and self.in_use < self.concurrency_limit()

    def estimated_wait_s(self, client_account: str) -> float:
        """Returns how long a new request of this account would wait, 0 before any has ended."""
        weight = self.directory.weight_of(client_account)
        return (self.queue.requests_ahead(client_account, weight) + 1) * self._time_per_permit_s()

    def expected_run_s(self) -> float:
        """Returns the time that a request is assumed to need after it leaves the queue.

        A request that has less time left would probably end with an unknown outcome and waste its
        slot.
        """
        return self.mean_hold_s * EXPECTED_RUN_SHARE

    def retry_after_s(self, client_account: str) -> float:
        """Returns after how long a new request of this account would find a shorter queue."""
        return max(MIN_RETRY_AFTER_S, self.estimated_wait_s(client_account))

    def dispatch(self) -> None:
        """Grants free permits to waiting requests."""
        limit = self.concurrency_limit()
        latest_s = asyncio.get_running_loop().time() + self.expected_run_s()
        while self.in_use < limit:
            ticket = self.queue.pop()
            if ticket is None:
                return
            if ticket.deadline_s < latest_s:
                ticket.outcome.set_result(TicketOutcome.TOO_LATE)
                continue
            self.in_use += 1
            ticket.outcome.set_result(TicketOutcome.GRANTED)

    def release(self, held_s: float) -> None:
        """Returns a permit that was held for `held_s` and grants it to the next request."""
        self.in_use -= 1
        mean_s = self.mean_hold_s
        self.mean_hold_s = mean_s + (held_s - mean_s) * (MEAN_HOLD_WEIGHT if mean_s else 1.0)
        self.dispatch()

    def observe_reply(self) -> None:
        """Adapts the limit after an agent's reply; the peer already holds the reported load."""
        now_s = asyncio.get_running_loop().time()
        self.limiter.observe_reply(self.load(), self.in_use, self.mean_hold_s, now_s)

    def observe_refusal(self) -> None:
        """Adapts the limit after a refusal for lack of slots."""
        now_s = asyncio.get_running_loop().time()
        self.limiter.observe_refusal(self.load(), self.mean_hold_s, now_s)

    def displace(self) -> QueueTicket | None:
        """Displaces the newest request of the account with the longest queue for its weight."""
        longest_queue = self.queue.longest_account_queue()
        if longest_queue is None:
            return None
        ticket = self.queue.displace_newest(longest_queue)
        ticket.outcome.set_result(TicketOutcome.DISPLACED)
        return ticket

    def _time_per_permit_s(self) -> float:
        return self.mean_hold_s / self.concurrency_limit()
