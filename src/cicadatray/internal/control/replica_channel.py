"""Calls to one other member of the replicated log."""

import asyncio
from collections.abc import Callable

import structlog

from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.rpc_client import RpcClient

# Twice the usual time of a reply, which takes one round trip and one sync of the disk.
RESEND_AFTER_S = 0.06
# Minimum time between resends to a member that is merely slow, so that it does not receive every
# message twice.
RESEND_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


class ReplicaChannel:
    """Resends a call on a new connection when the current one may be dead.

    A connection can lose everything that is sent on it without being reset. If all connections of
    the leader do so at once, waiting for the whole timeout would cost it its lease. Messages of the
    replicated log may be repeated and may arrive in any order.
    """

    __slots__ = ("client", "connect", "resend_at_s")

    def __init__(self, connect: Callable[[], RpcClient]) -> None:
        self.connect = connect
        self.client = connect()
        self.resend_at_s = 0.0

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Sends a request and returns its reply.

        Raises:
            WireError: no reply in time.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        client = self.client
        first = asyncio.create_task(client.call(message, timeout_s))
        try:
            await asyncio.wait((first,), timeout=RESEND_AFTER_S)
            is_silent = not first.done() and client.last_received_s < sent_s
            if not is_silent or loop.time() < self.resend_at_s or timeout_s <= RESEND_AFTER_S:
                return await first
            return await self._call_on_second_connection(first, message, sent_s + timeout_s)
        finally:
            first.cancel()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail with `PeerLostError`."""
        await self.client.close()

    async def _call_on_second_connection(
        self, first: asyncio.Task[MessageStruct], message: MessageStruct, deadline_s: float
    ) -> MessageStruct:
        loop = asyncio.get_running_loop()
        client = self.connect()
        second = asyncio.create_task(client.call(message, deadline_s - loop.time()))
        try:
            await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
            if second.done() and second.exception() is None and not first.done():
                log.info("connection replaced", host=client.host, port=client.port)
                previous, self.client, client = self.client, client, self.client
                previous.abort()
                return second.result()
            self.resend_at_s = loop.time() + RESEND_INTERVAL_S
            try:
                return await first
            except WireError:
                return await second
        finally:
            second.cancel()
            client.abort()
