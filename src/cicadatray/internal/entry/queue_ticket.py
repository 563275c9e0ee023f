"""A request that waits for its turn."""

import asyncio
from enum import Enum


class TurnResult(Enum):
    """`DISPLACED` requests gave their place to an account that has fewer waiting."""

    GRANTED = "granted"
    DISPLACED = "displaced"


class QueueTicket:
    """`turn` is done when the request may run or has lost its place."""

    __slots__ = ("client_account", "turn", "weight")

    def __init__(self, client_account: str, weight: float) -> None:
        self.client_account = client_account
        self.weight = weight
        self.turn: asyncio.Future[TurnResult] = asyncio.get_running_loop().create_future()
