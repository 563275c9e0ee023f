"""Links between simulated processes that lose, delay and duplicate messages."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextvars import Context
from typing import Protocol

from cicadatray.internal.wire.errors import PeerLostError
from cicadatray.internal.wire.message import MessageStruct
from cover.replication.process_loop import Process

DELAY_S = 0.01
# Longer than the timeout of any order and shorter than a lease.
LONG_DELAY_S = 4.0
DUPLICATE_SHARE = 0.05
LONG_DELAY_SHARE = 0.05


class Peer(Protocol):
    """A process that answers calls."""

    process: Process

    async def answer(self, call: MessageStruct) -> MessageStruct:
        """Returns the reply to a call."""


class LinkLayer:
    """Delivers calls between peers.

    `cuts` holds the pairs of source and target that are disconnected. `has_random_faults` enables
    random loss, delay and duplication.
    """

    __slots__ = ("cuts", "has_random_faults", "loss_share", "peers", "random", "tasks")

    def __init__(self, source: random.Random) -> None:
        self.random = source
        self.cuts: set[tuple[str, str]] = set()
        self.has_random_faults = False
        self.loss_share = 0.1
        self.peers: dict[str, Peer] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def call(
        self, source: str, target: str, message: MessageStruct, timeout_s: float
    ) -> MessageStruct:
        """Calls a peer and returns its reply; the call is lost if the peer's process is replaced.

        Raises:
            PeerLostError: no reply in time.
        """
        answer: asyncio.Future[MessageStruct] = asyncio.get_running_loop().create_future()
        peer = self.peers.get(target)
        if peer is not None:
            self._send(source, target, lambda: self._deliver(source, target, peer, message, answer))
        try:
            return await asyncio.wait_for(answer, timeout_s)
        except TimeoutError:
            raise PeerLostError(f"no reply from {target}") from None

    def _deliver(
        self,
        source: str,
        target: str,
        peer: Peer,
        message: MessageStruct,
        answer: asyncio.Future[MessageStruct],
    ) -> None:
        if self.peers.get(target) is not peer:
            return

        async def run() -> None:
            reply = await peer.answer(message)
            self._send(target, source, lambda: answer.done() or answer.set_result(reply))

        self.spawn(peer.process, run)

    def spawn(self, process: Process, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a coroutine in the context of a process."""

        async def main() -> None:
            await run()

        loop = asyncio.get_event_loop()
        task = loop.create_task(main(), context=process.context.copy())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _send(self, source: str, target: str, arrive: Callable[[], object]) -> None:
        copies = 1
        if self.has_random_faults:
            copies += self.random.random() < DUPLICATE_SHARE
            copies -= self.random.random() < self.loss_share
        for _ in range(copies):
            delay_s = DELAY_S
            if self.has_random_faults and self.random.random() < LONG_DELAY_SHARE:
                delay_s = self.random.uniform(0, LONG_DELAY_S)
            asyncio.get_event_loop().call_later(
                delay_s, self._arrive, source, target, arrive, context=Context()
            )

    def _arrive(self, source: str, target: str, arrive: Callable[[], object]) -> None:
        ends = (source.split("/")[0], target.split("/")[0])
        if ends not in self.cuts:
            arrive()
