"""The slots of the endpoint beside the agent."""

import asyncio
from collections import deque

from cicadatray.internal.wire.messages.attempt_messages import AgentLoad

# The agent's queue is short, because the entries' queues are fair and this one is not.
QUEUE_PER_SLOT = 1
MEAN_RUN_WEIGHT = 0.2
RETRY_AFTER_FLOOR_S = 0.1


class SlotGate:
    """Admits at most `slots` running attempts and a short queue behind them."""

    __slots__ = ("draining", "mean_run_s", "running", "slots", "waiting")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.draining = False
        self.mean_run_s = 0.0

    def has_room(self) -> bool:
        """Returns whether another attempt may enter."""
        queue_limit = self.slots * QUEUE_PER_SLOT
        return not self.draining and self.running + len(self.waiting) < self.slots + queue_limit

    def enter(self) -> asyncio.Future[None]:
        """Takes a slot or a place in the queue at once; the future is done when a slot is held."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.running < self.slots:
            self.running += 1
            turn.set_result(None)
        else:
            self.waiting.append(turn)
        return turn

    def withdraw(self, turn: asyncio.Future[None]) -> None:
        """Gives back a place in the queue, or a slot that was not used."""
        if turn.done():
            self._pass_on()
        else:
            self.waiting.remove(turn)

    def leave(self, run_s: float) -> None:
        """Frees a slot and records how long it was held."""
        known = self.mean_run_s
        self.mean_run_s = known + (run_s - known) * (MEAN_RUN_WEIGHT if known else 1.0)
        self._pass_on()

    def load(self) -> AgentLoad:
        """Returns what every reply tells the entry."""
        return AgentLoad(self.running, len(self.waiting), self.slots, self.draining)

    def retry_after_s(self) -> float:
        """Estimates when a slot will be free again."""
        queue_length = 1 + len(self.waiting)
        return max(RETRY_AFTER_FLOOR_S, self.mean_run_s * queue_length / self.slots)

    def _pass_on(self) -> None:
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.running -= 1
