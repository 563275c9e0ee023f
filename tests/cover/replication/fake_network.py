"""A network that loses, delays, repeats and reorders messages."""

import asyncio
import random
from contextvars import Context
from typing import TYPE_CHECKING

from cicadatray.replication.errors import ReplicationError, ReplicaTransportError
from cicadatray.replication.member import Member
from cicadatray.replication.message import (
    AppendRequest,
    ReplicaMessage,
    decode_replica_message,
    encode_replica_message,
)

if TYPE_CHECKING:
    from cover.replication.cluster import Cluster


class FakeNetwork:
    """`cuts` holds directed links that lose everything, `dropped` a message type that is lost."""

    __slots__ = (
        "answers",
        "cluster",
        "cuts",
        "delay_s",
        "dropped",
        "leaders",
        "loss",
        "random",
        "repeat",
        "sent",
    )

    def __init__(self, cluster: "Cluster", random_source: random.Random) -> None:
        self.cluster = cluster
        self.random = random_source
        self.answers: set[asyncio.Task[None]] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.delay_s = 0.002
        self.dropped: type | None = None
        self.loss = 0.0
        self.repeat = 0.0
        self.leaders: dict[int, str] = {}
        self.sent = 0

    def send(self, source: str, target: str, data: bytes, reply: "asyncio.Future[bytes]") -> None:
        """Delivers a request once, twice or not at all."""
        self.sent += 1
        message = decode_replica_message(data)
        self._check_leader(message)
        if self.dropped is not None and isinstance(message, self.dropped):
            return
        for _ in range(2 if self.random.random() < self.repeat else 1):
            if not self._is_lost(source, target):
                self._later(self._deliver, source, target, data, reply)

    def _deliver(
        self, source: str, target: str, data: bytes, reply: "asyncio.Future[bytes]"
    ) -> None:
        node = self.cluster.nodes.get(target)
        if node is None or not node.is_running:
            return

        async def answer() -> None:
            try:
                answered = await node.replica.handle(decode_replica_message(data))
            except ReplicationError:
                return
            if node.is_running and not self._is_lost(target, source):
                self._later(_resolve, reply, encode_replica_message(answered))

        loop = asyncio.get_running_loop()
        task = loop.create_task(answer(), context=node.process.context)
        self.answers.add(task)
        task.add_done_callback(self.answers.discard)

    def _later(self, callback: object, *args: object) -> None:
        delay_s = self.random.uniform(self.delay_s / 2, self.delay_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, callback, *args, context=Context())  # type: ignore[arg-type]

    def _is_lost(self, source: str, target: str) -> bool:
        return (source, target) in self.cuts or self.random.random() < self.loss

    def _check_leader(self, message: ReplicaMessage) -> None:
        if isinstance(message, AppendRequest):
            first = self.leaders.setdefault(message.term, message.identity)
            self.cluster.check(first == message.identity, f"two leaders in term {message.term}")


class FakeTransport:
    """The transport of one process; silent once the process has ended."""

    __slots__ = ("is_dead", "name", "network")

    def __init__(self, network: FakeNetwork, name: str) -> None:
        self.network = network
        self.name = name
        self.is_dead = False

    async def call(
        self, member: Member, message: ReplicaMessage, timeout_s: float
    ) -> ReplicaMessage:
        if self.is_dead:
            raise ReplicaTransportError("the process has ended")
        reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.network.send(self.name, member.member_id, encode_replica_message(message), reply)
        try:
            async with asyncio.timeout(timeout_s):
                return decode_replica_message(await reply)
        except TimeoutError as error:
            raise ReplicaTransportError("no reply") from error


def _resolve(reply: "asyncio.Future[bytes]", data: bytes) -> None:
    if not reply.done():
        reply.set_result(data)
