"""An attempt in the agent's ledger."""

import asyncio
from enum import Enum

from cicadatray.internal.wire.message import MessageStruct


class AttemptPhase(Enum):
    """Phases of an attempt; a `REFUSED` attempt never starts."""

    QUEUED = "queued"
    STARTED = "started"
    ENDED = "ended"
    REFUSED = "refused"


class AttemptEntry:
    """The state of one attempt.

    All callers of the attempt wait for `reply`. The future `slot` is done once the attempt holds a
    slot of the endpoint. `ended_s` is event loop time.
    """

    __slots__ = ("claim_index", "ended_s", "phase", "reply", "size_bytes", "slot", "task")

    def __init__(self, claim_index: int) -> None:
        self.claim_index = claim_index
        self.phase = AttemptPhase.QUEUED
        self.reply: asyncio.Future[MessageStruct] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None] | None = None
        self.slot: asyncio.Future[None] | None = None
        self.ended_s = 0.0
        self.size_bytes = 0
