"""A queued request."""

import asyncio
from enum import Enum


class TicketOutcome(Enum):
    """How a request left the queue.

    `DISPLACED`: it was removed in favour of an account with fewer waiting requests for its weight.
    `TOO_LATE`: it reached the head of the queue too late to complete before its deadline.
    """

    GRANTED = "granted"
    DISPLACED = "displaced"
    TOO_LATE = "too_late"


class QueueTicket:
    """The place of a request in the queue; `outcome` is set when the request leaves it."""

    __slots__ = ("client_account", "deadline_s", "outcome", "weight")

    def __init__(self, client_account: str, weight: float, deadline_s: float) -> None:
        self.client_account = client_account
        self.weight = weight
        self.deadline_s = deadline_s
        self.outcome: asyncio.Future[TicketOutcome] = asyncio.get_running_loop().create_future()
