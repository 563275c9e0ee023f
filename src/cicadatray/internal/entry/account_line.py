"""The waiting requests of one client account."""

from collections import deque

from cicadatray.internal.entry.queue_ticket import QueueTicket


class AccountLine:
    """`next_turn` is the virtual time of the account's next turn."""

    __slots__ = ("next_turn", "tickets", "weight")

    def __init__(self, weight: float, virtual_time: float) -> None:
        self.tickets: deque[QueueTicket] = deque()
        self.weight = weight
        self.next_turn = virtual_time

    def relative_length(self, added: int = 0) -> float:
        """Returns the number of waiting requests for each unit of weight."""
        return (len(self.tickets) + added) / self.weight
