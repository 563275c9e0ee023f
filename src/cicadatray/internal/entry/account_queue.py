"""The queue of one client account."""

from collections import deque

from cicadatray.internal.entry.queue_ticket import QueueTicket


class AccountQueue:
    """The waiting requests of a client account, oldest first.

    `next_pass` is the virtual time at which the account is served next.
    """

    __slots__ = ("next_pass", "tickets", "weight")

    def __init__(self, weight: float, virtual_time: float) -> None:
        self.tickets: deque[QueueTicket] = deque()
        self.weight = weight
        self.next_pass = virtual_time

    def normalized_length(self, added: int = 0) -> float:
        """Returns the queue length, with `added` more requests, divided by the account's weight."""
        return (len(self.tickets) + added) / self.weight
