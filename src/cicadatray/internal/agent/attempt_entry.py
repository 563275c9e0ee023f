"""One attempt in the agent's ledger."""

import asyncio
from enum import Enum

from cicadatray.internal.wire.message import MessageStruct


class AttemptPhase(Enum):
    """`REFUSED` attempts never start."""

    QUEUED = "queued"
    STARTED = "started"
    ENDED = "ended"
    REFUSED = "refused"


class AttemptEntry:
    """Callers of the same attempt all wait for `reply`; `turn` is done when it holds a slot.

    `ended_s` is event loop time.
    """

    __slots__ = ("claim_index", "ended_s", "phase", "reply", "size_bytes", "task", "turn")

    def __init__(self, claim_index: int) -> None:
        self.claim_index = claim_index
        self.phase = AttemptPhase.QUEUED
        self.reply: asyncio.Future[MessageStruct] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None] | None = None
        self.turn: asyncio.Future[None] | None = None
        self.ended_s = 0.0
        self.size_bytes = 0
