"""Processor time of one call over asyncio streams and over pynng."""

import asyncio
import threading
import time

import msgspec
import pynng

from cicadatray.internal.bench.deployment.ports import HOST, free_ports
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import (
    Acknowledged,
    ReadDirectory,
)
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.rpc_client import RpcClient
from cicadatray.internal.wire.rpc_server import RpcServer

CALL_COUNT = 2_000
CALL_TIMEOUT_S = 5.0
SECRET = b"capacity"
US_PER_S = 1_000_000


class WireCosts(msgspec.Struct, frozen=True):
    """Processor time of a request and its reply, for both sides together, and threads in use.

    `pynng_calls` is below `CALL_COUNT` when a call got no reply in time: with pynng 0.9.0 a call
    stalled indefinitely in one of two runs on a busy machine.
    """

    streams_us: float
    streams_threads: int
    pynng_us: float
    pynng_threads: int
    pynng_calls: int


async def measure_wire() -> WireCosts:
    """Measures calls to a local server over both transports."""
    streams_us, streams_threads = await _measure_streams()
    pynng_us, pynng_threads, pynng_calls = await _measure_pynng()
    return WireCosts(streams_us, streams_threads, pynng_us, pynng_threads, pynng_calls)


async def _acknowledge(message: MessageStruct) -> MessageStruct:
    return Acknowledged()


async def _measure_streams() -> tuple[float, int]:
    codec = message_codec()
    server = RpcServer(HOST, 0, codec, _acknowledge, SECRET)
    await server.start()
    client = RpcClient(HOST, server.port, codec, SECRET)
    call = ReadDirectory(cached_term=1, cached_version=1)
    await client.call(call, CALL_TIMEOUT_S)
    started_s = time.process_time()
    for _ in range(CALL_COUNT):
        await client.call(call, CALL_TIMEOUT_S)
    used_s = time.process_time() - started_s
    threads = _thread_count()
    await client.close()
    await server.stop()
    return round(used_s / CALL_COUNT * US_PER_S, 1), threads


async def _measure_pynng() -> tuple[float, int, int]:
    url = f"tcp://{HOST}:{free_ports(1)[0]}"
    codec = message_codec()
    call = codec.encode(1, ReadDirectory(cached_term=1, cached_version=1))
    with pynng.Rep0(listen=url) as replier, pynng.Req0(dial=url) as requester:
        serving = asyncio.create_task(_serve_pynng(replier))
        started_s = time.process_time()
        calls = await _call_until_stalled(requester, call)
        used_s = time.process_time() - started_s
        threads = _thread_count()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
    return round(used_s / max(1, calls) * US_PER_S, 1), threads, calls


async def _call_until_stalled(requester: pynng.Req0, call: bytes) -> int:
    """Returns the number of calls that got a reply."""
    for answered in range(CALL_COUNT):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await requester.asend(call)
                await requester.arecv()
        except TimeoutError:
            return answered
    return CALL_COUNT


async def _serve_pynng(replier: pynng.Rep0) -> None:
    codec = message_codec()
    while True:
        call_id, _ = codec.decode(await replier.arecv())
        await replier.asend(codec.encode(call_id, Acknowledged()))


def _thread_count() -> int:
    """Counts the threads of the process, those of C libraries included."""
    with open("/proc/self/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("Threads:"))
    return int(line.split()[1]) or threading.active_count()
