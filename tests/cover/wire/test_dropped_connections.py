"""Connections of clients that nobody needs any more."""

import asyncio
import gc
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cicadatray.internal.control.agent_links import AgentLinks
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged, AgentRecord
from cicadatray.internal.wire.messages.graph_messages import MemberAddress
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.relay_messages import RelayedCall
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.rpc_client import RpcClient
from cicadatray.internal.wire.rpc_server import RpcServer

SECRET = b"secret"
HOST = "127.0.0.1"
TIMEOUT_S = 30.0
# Lets a call that was sent arrive at the listener.
ARRIVAL_S = 0.05


def agent_at(port: int) -> AgentRecord:
    return AgentRecord("a", "1", HOST, port, "d")


async def forget_relay(port: int) -> None:
    client = ControlClient((ControlMember("c", HOST, 1),), message_codec(), SECRET, RelayRoutes(""))
    first, second = MemberAddress("r1", HOST, port), MemberAddress("r2", HOST, port)
    client.update_relays((first,))
    await client.relays.clients[first].call(RelayedCall(payload=b"", timeout_s=0.0), TIMEOUT_S)
    client.update_relays((second,))


async def move_control_member(port: int) -> None:
    client = ControlClient((ControlMember("c", HOST, port),), message_codec(), SECRET)
    await client.call(Acknowledged(), TIMEOUT_S)
    client.set_member_address("c", HOST, 1)


async def move_agent(port: int) -> None:
    links = AgentLinks(message_codec(), SECRET)
    await links.call(agent_at(port), Acknowledged(), TIMEOUT_S)
    links._client(agent_at(1))


async def abort_connection(port: int) -> None:
    client = RpcClient(HOST, port, message_codec(), SECRET)
    await client.call(Acknowledged(), TIMEOUT_S)
    client.abort()


@pytest.mark.parametrize("drop", [forget_relay, move_control_member, move_agent, abort_connection])
def test_dropped_client_leaves_no_pending_task(drop: Callable[[int], Awaitable[None]]) -> None:
    """The reading task of a client that was dropped unclosed was collected while it waited.

    The event loop reaches the reader of an outgoing connection by a weak reference only. The
    interpreter then reports "Task was destroyed but it is pending", and the peer keeps a
    connection whose other end reads no more.
    """
    reports: list[str] = []

    async def main() -> None:
        async def answer(call: MessageStruct) -> MessageStruct:
            return call

        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reports.append(context["message"]))
        server = RpcServer(HOST, 0, message_codec(), answer, SECRET)
        await server.start()
        await drop(server.port)
        gc.collect()
        while server.connections:
            await asyncio.sleep(ARRIVAL_S)
        gc.collect()
        await server.stop()

    asyncio.run(asyncio.wait_for(main(), TIMEOUT_S))
    assert reports == []


def test_released_client_finishes_its_calls() -> None:
    """A call in progress on a client that is replaced must not fail because of that."""

    async def main() -> None:
        go_on = asyncio.Event()

        async def answer(call: MessageStruct) -> MessageStruct:
            await go_on.wait()
            return call

        server = RpcServer(HOST, 0, message_codec(), answer, SECRET)
        await server.start()
        client: Any = RpcClient(HOST, server.port, message_codec(), SECRET)
        call = asyncio.create_task(client.call(Acknowledged(), TIMEOUT_S))
        await asyncio.sleep(ARRIVAL_S)
        client.release()
        await asyncio.sleep(ARRIVAL_S)
        go_on.set()
        assert isinstance(await call, Acknowledged)
        while server.connections:
            await asyncio.sleep(ARRIVAL_S)
        await server.stop()

    asyncio.run(asyncio.wait_for(main(), TIMEOUT_S))
