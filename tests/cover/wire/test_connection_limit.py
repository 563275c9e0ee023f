"""Tests of a server whose limit of connections is reached."""

import asyncio

import pytest

from cicadatray.internal.wire import rpc_server
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rpc_client import RpcClient
from cicadatray.internal.wire.rpc_server import RpcServer

SECRET = b"secret"
LIMIT = 4
TIMEOUT_S = 30.0


async def echo(call: MessageStruct) -> MessageStruct:
    return call


async def connect_up_to_the_limit(server: RpcServer) -> list[RpcClient]:
    clients = []
    for _ in range(LIMIT):
        client = RpcClient("127.0.0.1", server.port, message_codec(), SECRET)
        await client.call(Acknowledged(), TIMEOUT_S)
        clients.append(client)
    return clients


@pytest.mark.parametrize(("idle_limit_s", "is_served"), [(0.0, True), (TIMEOUT_S, False)])
def test_idle_connection_gives_way_to_a_new_one(
    idle_limit_s: float, is_served: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server that refuses everybody, because machines that lost power hold it.

    Nothing is sent on their connections, so that these are never reset. A connection in use is not
    closed.
    """
    monkeypatch.setattr(rpc_server, "CONNECTION_LIMIT", LIMIT)
    monkeypatch.setattr(rpc_server, "IDLE_LIMIT_S", idle_limit_s, raising=False)

    async def main() -> None:
        server = RpcServer("127.0.0.1", 0, message_codec(), echo, SECRET)
        await server.start()
        clients = await connect_up_to_the_limit(server)
        new_client = RpcClient("127.0.0.1", server.port, message_codec(), SECRET)
        try:
            reply: object = await new_client.call(Acknowledged(), TIMEOUT_S)
        except WireError as error:
            reply = error
        assert isinstance(reply, Acknowledged) is is_served
        assert len(server.connections) == LIMIT
        # The one that was closed opens a new connection, in the place of another one.
        if is_served:
            for client in clients[1:]:
                assert isinstance(await client.call(Acknowledged(), TIMEOUT_S), Acknowledged)
        for client in (*clients, new_client):
            await client.close()
        await server.stop()

    asyncio.run(asyncio.wait_for(main(), 2 * TIMEOUT_S))


def test_connection_with_a_call_in_progress_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against ending a call that the server holds on purpose to make room for another."""
    monkeypatch.setattr(rpc_server, "CONNECTION_LIMIT", LIMIT)
    monkeypatch.setattr(rpc_server, "IDLE_LIMIT_S", 0.0, raising=False)

    async def main() -> None:
        may_reply = asyncio.Event()

        async def answer(call: MessageStruct) -> MessageStruct:
            await may_reply.wait()
            return call

        server = RpcServer("127.0.0.1", 0, message_codec(), echo, SECRET)
        await server.start()
        clients = await connect_up_to_the_limit(server)
        server.handler = answer
        held = asyncio.create_task(clients[0].call(Acknowledged(), TIMEOUT_S))
        while not any(connection.calls for connection in server.connections.values()):
            await asyncio.sleep(0.01)
        for _ in range(LIMIT):
            server.handler = echo
            new_client = RpcClient("127.0.0.1", server.port, message_codec(), SECRET)
            assert isinstance(await new_client.call(Acknowledged(), TIMEOUT_S), Acknowledged)
            clients.append(new_client)
        may_reply.set()
        assert isinstance(await held, Acknowledged)
        for client in clients:
            await client.close()
        await server.stop()

    asyncio.run(asyncio.wait_for(main(), 2 * TIMEOUT_S))
