"""The slots of the endpoint beside the agent."""

import asyncio
from collections import deque

from cicadatray.internal.wire.messages.attempt_messages import AgentLoad

# The agent's queue is short, because the entries' queues are fair and this one is not.
QUEUE_PER_SLOT = 1


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
        """Tells whether another attempt may enter."""
        queue_limit = self.slots * QUEUE_PER_SLOT
        return not self.draining and self.running + len(self.waiting) < self.slots + queue_limit

    async def enter(self) -> None:
        """Waits for a free slot. A cancelled wait takes none."""
        if self.running < self.slots:
            self.running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._pass_on()
            elif turn in self.waiting:
                self.waiting.remove(turn)
            raise

    def leave(self, run_s: float) -> None:
        """Frees a slot and records how long it was held."""
        self.mean_run_s = run_s if not self.mean_run_s else 0.8 * self.mean_run_s + 0.2 * run_s
        self._pass_on()

    def load(self) -> AgentLoad:
        """Returns what every reply tells the entry."""
        return AgentLoad(self.running, len(self.waiting), self.slots, self.draining)

    def retry_after_s(self) -> float:
        """Estimates when a slot will be free again."""
        queue_length = 1 + len(self.waiting)
        return max(0.1, self.mean_run_s * queue_length / self.slots)

    def _pass_on(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
