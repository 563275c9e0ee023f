"""The concurrency limit of the agent's endpoint."""

import asyncio
from collections import deque

from cicadatray.internal.wire.messages.attempt_messages import AgentLoad

# The agent's queue is short, because it is not fair, whereas the queues of the entries are.
QUEUE_PER_SLOT = 1
MEAN_RUN_WEIGHT = 0.2
RETRY_AFTER_FLOOR_S = 0.1


class SlotLimiter:
    """Limits the running attempts to `slots` and queues a few more."""

    __slots__ = ("draining", "mean_run_s", "running", "slots", "waiting")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.draining = False
        self.mean_run_s = 0.0

    def has_capacity(self) -> bool:
        """Returns whether another attempt may run or wait."""
        queue_limit = self.slots * QUEUE_PER_SLOT
        return not self.draining and self.running + len(self.waiting) < self.slots + queue_limit

    def acquire(self) -> asyncio.Future[None]:
        """Acquires a slot or joins the queue; the future is done once the slot is acquired."""
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.running < self.slots:
            self.running += 1
            slot.set_result(None)
        else:
            self.waiting.append(slot)
        return slot

    def cancel_acquire(self, slot: asyncio.Future[None]) -> None:
        """Leaves the queue, or releases a slot that was granted but not used."""
        if slot.done():
            self._grant_next()
        else:
            self.waiting.remove(slot)

    def release(self, run_s: float) -> None:
        """Releases a slot and records how long it was held."""
        previous_mean_s = self.mean_run_s
        self.mean_run_s = previous_mean_s + (run_s - previous_mean_s) * (
            MEAN_RUN_WEIGHT if previous_mean_s else 1.0
        )
        self._grant_next()

    def load(self) -> AgentLoad:
        """Returns the load that every reply reports to the entry."""
        return AgentLoad(self.running, len(self.waiting), self.slots, self.draining)

    def retry_after_s(self) -> float:
        """Returns the estimated time until a slot is free."""
        queue_length = 1 + len(self.waiting)
        return max(RETRY_AFTER_FLOOR_S, self.mean_run_s * queue_length / self.slots)

    def _grant_next(self) -> None:
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.running -= 1
