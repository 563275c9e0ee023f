"""A request that waits for its turn."""

import asyncio
from enum import Enum


class TurnResult(Enum):
    """`DISPLACED` requests gave their place to an account that has fewer waiting; `TOO_LATE` ones
    got their turn when a run would not have ended before their deadline."""

    GRANTED = "granted"
    DISPLACED = "displaced"
    TOO_LATE = "too_late"


class QueueTicket:
    """`turn` is done when the request may run or has lost its place."""

    __slots__ = ("client_account", "deadline_s", "turn", "weight")

    def __init__(self, client_account: str, weight: float, deadline_s: float) -> None:
        self.client_account = client_account
        self.weight = weight
        self.deadline_s = deadline_s
        self.turn: asyncio.Future[TurnResult] = asyncio.get_running_loop().create_future()
