"""A network that loses, delays, duplicates and reorders messages."""

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
    """Delivers messages between the nodes of a cluster with configurable faults.

    `blocked_links` holds the directed links that lose every message; requests of `dropped_type` are
    lost on all links.
    """

    __slots__ = (
        "blocked_links",
        "cluster",
        "delay_s",
        "dropped_type",
        "duplicate_rate",
        "leader_by_term",
        "loss_rate",
        "random",
        "reply_tasks",
        "request_count",
    )

    def __init__(self, cluster: "Cluster", random_source: random.Random) -> None:
        self.cluster = cluster
        self.random = random_source
        self.reply_tasks: set[asyncio.Task[None]] = set()
        self.blocked_links: set[tuple[str, str]] = set()
        self.delay_s = 0.002
        self.dropped_type: type | None = None
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.leader_by_term: dict[int, str] = {}
        self.request_count = 0

    def send(self, source: str, target: str, data: bytes, reply: "asyncio.Future[bytes]") -> None:
        """Schedules the delivery of a request once, twice or not at all."""
        self.request_count += 1
        message = decode_replica_message(data)
        self._check_single_leader(message)
        if self.dropped_type is not None and isinstance(message, self.dropped_type):
            return
        for _ in range(2 if self.random.random() < self.duplicate_rate else 1):
            if not self._is_lost(source, target):
                self._schedule(self._deliver_request, source, target, data, reply)

    def _deliver_request(
        self, source: str, target: str, data: bytes, reply: "asyncio.Future[bytes]"
    ) -> None:
        node = self.cluster.nodes.get(target)
        if node is None or not node.is_running:
            return

        async def send_reply() -> None:
            try:
                reply_message = await node.replica.handle(decode_replica_message(data))
            except ReplicationError:
                return
            if node.is_running and not self._is_lost(target, source):
                self._schedule(_set_result, reply, encode_replica_message(reply_message))

        loop = asyncio.get_running_loop()
        task = loop.create_task(send_reply(), context=node.process.context)
        self.reply_tasks.add(task)
        task.add_done_callback(self.reply_tasks.discard)

    def _schedule(self, callback: object, *args: object) -> None:
        delay_s = self.random.uniform(self.delay_s / 2, self.delay_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, callback, *args, context=Context())  # type: ignore[arg-type]

    def _is_lost(self, source: str, target: str) -> bool:
        return (source, target) in self.blocked_links or self.random.random() < self.loss_rate

    def _check_single_leader(self, message: ReplicaMessage) -> None:
        if isinstance(message, AppendRequest):
            first = self.leader_by_term.setdefault(message.term, message.identity)
            self.cluster.check(first == message.identity, f"two leaders in term {message.term}")


class FakeTransport:
    """The transport of one process; it sends nothing once the process has ended."""

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


def _set_result(reply: "asyncio.Future[bytes]", data: bytes) -> None:
    if not reply.done():
        reply.set_result(data)
