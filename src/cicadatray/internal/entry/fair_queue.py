"""Weighted fair queueing of requests."""

from cicadatray.internal.entry.account_queue import AccountQueue
from cicadatray.internal.entry.queue_ticket import QueueTicket

# An account with a weight of zero would never be served.
MIN_WEIGHT = 0.001


class FairQueue:
    """A queue with stride scheduling between accounts.

    Each served request advances the pass of its account by 1 / weight. An account that becomes
    active again starts at the current virtual time, so that it neither accumulates credit nor
    carries debt.
    """

    __slots__ = ("length", "queues", "virtual_time")

    def __init__(self) -> None:
        self.queues: dict[str, AccountQueue] = {}
        self.length = 0
        self.virtual_time = 0.0

    def push(self, ticket: QueueTicket, at_head: bool = False) -> None:
        """Adds a request at the end of its account's queue, or at the head if `at_head` is set."""
        weight = max(MIN_WEIGHT, ticket.weight)
        queue = self.queues.get(ticket.client_account)
        if queue is None:
            queue = self.queues[ticket.client_account] = AccountQueue(weight, self.virtual_time)
        if not queue.tickets:
            queue.next_pass = max(queue.next_pass, self.virtual_time)
        queue.weight = weight
        if at_head:
            queue.tickets.appendleft(ticket)
        else:
            queue.tickets.append(ticket)
        self.length += 1

    def pop(self) -> QueueTicket | None:
        """Removes and returns the request to serve next, or returns None when none waits."""
        waiting = [queue for queue in self.queues.values() if queue.tickets]
        if not waiting:
            return None
        queue = min(waiting, key=lambda queue: queue.next_pass)
        self.virtual_time = queue.next_pass
        queue.next_pass += 1 / queue.weight
        self.length -= 1
        ticket = queue.tickets.popleft()
        self._remove_idle_queues()
        return ticket

    def remove(self, ticket: QueueTicket) -> None:
        """Removes a request that no longer waits."""
        queue = self.queues.get(ticket.client_account)
        if queue is not None and ticket in queue.tickets:
            queue.tickets.remove(ticket)
            self.length -= 1

    def longest_account_queue(self) -> AccountQueue | None:
        """Returns the queue that is longest relative to its account's weight."""
        waiting = [queue for queue in self.queues.values() if queue.tickets]
        return max(waiting, key=AccountQueue.normalized_length, default=None)

    def displace_newest(self, queue: AccountQueue) -> QueueTicket:
        """Removes and returns the newest request of an account's queue."""
        self.length -= 1
        return queue.tickets.pop()

    def normalized_length_after_push(self, client_account: str, weight: float) -> float:
        """Returns the normalized length of an account's queue with one more request."""
        queue = self.queues.get(client_account)
        length = len(queue.tickets) if queue is not None else 0
        return (length + 1) / max(MIN_WEIGHT, weight)

    def requests_ahead(self, client_account: str, weight: float) -> float:
        """Returns approximately how many requests are served before a new one of this account."""
        rounds = self.normalized_length_after_push(client_account, weight)
        others = (queue for name, queue in self.queues.items() if name != client_account)
        ahead = sum(min(len(queue.tickets), rounds * queue.weight) for queue in others)
        return ahead + rounds * max(MIN_WEIGHT, weight) - 1

    def _remove_idle_queues(self) -> None:
        for name, queue in list(self.queues.items()):
            if not queue.tickets and queue.next_pass <= self.virtual_time:
                del self.queues[name]
