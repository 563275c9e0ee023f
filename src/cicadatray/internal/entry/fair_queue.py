"""Weighted fair order of waiting requests."""

from cicadatray.internal.entry.account_line import AccountLine
from cicadatray.internal.entry.queue_ticket import QueueTicket

# A weight of zero would never get a turn.
WEIGHT_FLOOR = 0.001


class FairQueue:
    """Stride scheduling: each turn of an account moves its next turn by 1 / weight.

    An account that comes back after a pause starts at the present virtual time, so that it can
    neither save turns nor owes any.
    """

    __slots__ = ("length", "lines", "virtual_time")

    def __init__(self) -> None:
        self.lines: dict[str, AccountLine] = {}
        self.length = 0
        self.virtual_time = 0.0

    def push(self, ticket: QueueTicket, first: bool = False) -> None:
        """Adds a request at the end of its account's line, or at its head."""
        weight = max(WEIGHT_FLOOR, ticket.weight)
        line = self.lines.get(ticket.client_account)
        if line is None:
            line = self.lines[ticket.client_account] = AccountLine(weight, self.virtual_time)
        if not line.tickets:
            line.next_turn = max(line.next_turn, self.virtual_time)
        line.weight = weight
        if first:
            line.tickets.appendleft(ticket)
        else:
            line.tickets.append(ticket)
        self.length += 1

    def pop(self) -> QueueTicket | None:
        """Removes and returns the request whose turn it is."""
        waiting = [line for line in self.lines.values() if line.tickets]
        if not waiting:
            return None
        line = min(waiting, key=lambda line: line.next_turn)
        self.virtual_time = line.next_turn
        line.next_turn += 1 / line.weight
        self.length -= 1
        ticket = line.tickets.popleft()
        self._forget_idle_lines()
        return ticket

    def remove(self, ticket: QueueTicket) -> None:
        """Removes a request that waits no longer."""
        line = self.lines.get(ticket.client_account)
        if line is not None and ticket in line.tickets:
            line.tickets.remove(ticket)
            self.length -= 1

    def longest_line(self) -> AccountLine | None:
        """Returns the line that is longest for its weight."""
        waiting = [line for line in self.lines.values() if line.tickets]
        return max(waiting, key=AccountLine.relative_length, default=None)

    def displace_last(self, line: AccountLine) -> QueueTicket:
        """Removes the newest request of a line."""
        self.length -= 1
        return line.tickets.pop()

    def relative_length_with(self, client_account: str, weight: float) -> float:
        """Returns the relative length of an account's line with one more request."""
        line = self.lines.get(client_account)
        length = len(line.tickets) if line is not None else 0
        return (length + 1) / max(WEIGHT_FLOOR, weight)

    def turns_before(self, client_account: str, weight: float) -> float:
        """Returns about how many requests get a turn before a new one of this account."""
        rounds = self.relative_length_with(client_account, weight)
        others = (line for name, line in self.lines.items() if name != client_account)
        ahead = sum(min(len(line.tickets), rounds * line.weight) for line in others)
        return ahead + rounds * max(WEIGHT_FLOOR, weight) - 1

    def _forget_idle_lines(self) -> None:
        for name, line in list(self.lines.items()):
            if not line.tickets and line.next_turn <= self.virtual_time:
                del self.lines[name]
