"""Tests of calls to another process after a connection failure."""

import asyncio
import contextlib
import random

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual
from cicadatray.internal.wire.backoff import BACKOFF_FIRST_S, Backoff
from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError, WireError
from cicadatray.internal.wire.frame import pack_frame, read_frame
from cicadatray.internal.wire.handshake import authenticate
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rpc_client import (
    CONNECT_TIMEOUT_S,
    RESET_AFTER_S,
    SHORTEST_ATTEMPT_S,
    RpcClient,
)
from cicadatray.internal.wire.rpc_server import RpcServer

SECRET = b"secret"
# The rounding of sums of virtual time.
TOLERANCE_S = 1e-6


class LongestRandom(random.Random):
    """Draws the upper end of each interval."""

    def uniform(self, a: float, b: float) -> float:
        return b


class LongestBackoff(Backoff):
    """A backoff whose delays are as long as they can be."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(LongestRandom())


class SilentOnceServer:
    """Never replies on its first connection, and replies to every call on later ones."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        is_silent = self.connections == 1
        codec = message_codec()
        try:
            await authenticate(reader, writer, SECRET, dialer=False)
            while True:
                call_id, message = codec.decode(await read_frame(reader))
                if not is_silent:
                    writer.write(pack_frame(codec.encode(call_id, message)))
        except (EOFError, OSError):
            pass
        finally:
            writer.close()


def test_call_after_a_dead_connection_opens_a_new_one() -> None:
    """Guards against a call that fails on the connection that was reset after a timeout."""

    async def main() -> None:
        silent_server = SilentOnceServer()
        server = await asyncio.start_server(silent_server.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = RpcClient("127.0.0.1", port, message_codec(), SECRET)
        with pytest.raises(PeerLostError):
            await client.call(Acknowledged(), 0.2)
        assert isinstance(await client.call(Acknowledged(), 30.0), Acknowledged)
        assert silent_server.connections == 2
        await client.close()
        server.close()

    asyncio.run(main())


async def open_no_connection(*_: object, **__: object) -> None:
    """Waits like a connection to a machine without power, which does not refuse it."""
    await asyncio.get_running_loop().create_future()


@pytest.mark.parametrize("call_count", [1, 2, 30])
@pytest.mark.parametrize("timeout_s", [0.2, 1.0, 3.0])
def test_calls_to_a_machine_without_power_end_in_time(
    call_count: int, timeout_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that wait for the connection attempts of all calls before them.

    With 30 calls in progress, the last one ended up to 4 s after its timeout of 1 s.
    """
    monkeypatch.setattr(asyncio, "open_connection", open_no_connection)
    duration_limit_s = min(timeout_s, CONNECT_TIMEOUT_S)

    async def main() -> None:
        client = RpcClient("127.0.0.1", 1, message_codec(), SECRET)
        calls = (client.call(Acknowledged(), timeout_s) for _ in range(call_count))
        errors = await asyncio.gather(*calls, return_exceptions=True)
        assert [type(error) for error in errors] == [PeerUnreachableError] * call_count
        assert asyncio.get_running_loop().time() <= duration_limit_s + TOLERANCE_S
        await client.close()

    run_virtual(main())


def test_backoff_begins_when_the_attempt_has_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a backoff that is over before the attempt that it follows has timed out."""
    attempts = 0

    async def open_slowly(*_: object, **__: object) -> None:
        nonlocal attempts
        attempts += 1
        await open_no_connection()

    monkeypatch.setattr(asyncio, "open_connection", open_slowly)

    async def main() -> None:
        client = RpcClient("127.0.0.1", 1, message_codec(), SECRET, LongestBackoff())
        with pytest.raises(PeerUnreachableError):
            await client.call(Acknowledged(), 3.0)
        failed_s = asyncio.get_running_loop().time()
        with pytest.raises(PeerUnreachableError, match="backoff"):
            await client.call(Acknowledged(), 3.0)
        assert (attempts, asyncio.get_running_loop().time()) == (1, failed_s)
        await asyncio.sleep(BACKOFF_FIRST_S)
        with pytest.raises(PeerUnreachableError):
            await client.call(Acknowledged(), 3.0)
        assert attempts == 2
        await client.close()

    run_virtual(main())


def test_attempt_outlives_the_call_that_began_it() -> None:
    """Guards against a peer that calls with little time left never reach, and keep in backoff."""

    async def main() -> None:
        async def serve_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(SHORTEST_ATTEMPT_S / 3)
            await silent_server.serve(reader, writer)

        silent_server = SilentOnceServer()
        silent_server.connections = 1  # the first connection is answered too
        server = await asyncio.start_server(serve_late, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = RpcClient("127.0.0.1", port, message_codec(), SECRET, connect_timeout_s=30.0)
        with pytest.raises(PeerUnreachableError):
            await client.call(Acknowledged(), 0.01)
        assert isinstance(await client.call(Acknowledged(), 30.0), Acknowledged)
        assert silent_server.connections == 2
        await client.close()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("method", ["abort", "release"])
def test_dropped_client_ends_its_attempt(method: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against attempts to reach an instance that is gone which outlive their client."""
    monkeypatch.setattr(asyncio, "open_connection", open_no_connection)

    async def main() -> None:
        client = RpcClient("127.0.0.1", 1, message_codec(), SECRET)
        with pytest.raises(PeerUnreachableError):
            await client.call(Acknowledged(), 0.1)
        assert len(asyncio.all_tasks()) == 2
        getattr(client, method)()
        await asyncio.sleep(0)
        assert len(asyncio.all_tasks()) == 1

    run_virtual(main())


def test_aborted_attempt_fails_the_calls_that_wait_for_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a caller that is cancelled because the client that it uses is closed."""
    monkeypatch.setattr(asyncio, "open_connection", open_no_connection)

    async def main() -> None:
        client = RpcClient("127.0.0.1", 1, message_codec(), SECRET)
        call = asyncio.create_task(client.call(Acknowledged(), 3.0))
        await asyncio.sleep(0.1)
        await client.close()
        with pytest.raises(PeerUnreachableError):
            await call

    run_virtual(main())


def test_short_call_leaves_the_calls_beside_it_alone() -> None:
    """Guards against a call with little time left that resets the connection of all others.

    After an election every entry has calls whose last attempt reaches the new leader with a few
    milliseconds left.
    """

    async def main() -> None:
        may_reply = asyncio.Event()

        async def answer(call: MessageStruct) -> MessageStruct:
            await may_reply.wait()
            return call

        server = RpcServer("127.0.0.1", 0, message_codec(), answer, SECRET)
        await server.start()
        client = RpcClient("127.0.0.1", server.port, message_codec(), SECRET)
        call = asyncio.create_task(client.call(Acknowledged(), 30.0))
        while not client.is_connected:
            await asyncio.sleep(0.01)
        with pytest.raises(PeerLostError):
            await client.call(Acknowledged(), 0.01)
        may_reply.set()
        assert isinstance(await call, Acknowledged)
        await client.close()
        await server.stop()

    asyncio.run(main())


def test_short_calls_on_a_dead_connection_open_a_new_one() -> None:
    """Guards against a dead connection that is kept because each call has little time left."""

    async def main() -> None:
        silent_server = SilentOnceServer()
        server = await asyncio.start_server(silent_server.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = RpcClient("127.0.0.1", port, message_codec(), SECRET)
        while silent_server.connections < 2:
            with contextlib.suppress(WireError):
                await client.call(Acknowledged(), RESET_AFTER_S / 5)
        assert isinstance(await client.call(Acknowledged(), 30.0), Acknowledged)
        await client.close()
        server.close()

    asyncio.run(asyncio.wait_for(main(), 30.0))
