"""Calls to one other member of the replicated log."""

import asyncio
from collections.abc import Callable

import structlog

from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.rpc_client import RpcClient

# Twice the usual time of an answer, which takes one round trip and one sync of the disk.
RESEND_AFTER_S = 0.06
# A member that is merely slow is not sent everything twice.
RESEND_PAUSE_S = 1.0

log = structlog.get_logger(__name__)


class ReplicaChannel:
    """Sends a call again on a new connection when the present one may have gone silent.

    A connection can lose everything that is sent on it without being reset. Waiting for the
    whole timeout costs the leader its lease when all its connections go silent together. Messages
    of the log may be repeated, and arrive in any order.
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
        asked_s = loop.time()
        client = self.client
        first = asyncio.create_task(client.call(message, timeout_s))
        try:
            await asyncio.wait((first,), timeout=RESEND_AFTER_S)
            is_silent = not first.done() and client.last_received_s < asked_s
            if not is_silent or loop.time() < self.resend_at_s or timeout_s <= RESEND_AFTER_S:
                return await first
            return await self._call_twice(first, message, asked_s + timeout_s)
        finally:
            first.cancel()

    async def close(self) -> None:
        """Closes the connection; calls in progress fail with `PeerLostError`."""
        await self.client.close()

    async def _call_twice(
        self, first: asyncio.Task[MessageStruct], message: MessageStruct, deadline_s: float
    ) -> MessageStruct:
        loop = asyncio.get_running_loop()
        client = self.connect()
        second = asyncio.create_task(client.call(message, deadline_s - loop.time()))
        try:
            await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
            if second.done() and second.exception() is None and not first.done():
                log.info("connection replaced", host=client.host, port=client.port)
                former, self.client, client = self.client, client, self.client
                former.abort()
                return second.result()
            self.resend_at_s = loop.time() + RESEND_PAUSE_S
            try:
                return await first
            except WireError:
                return await second
        finally:
            second.cancel()
            client.abort()
