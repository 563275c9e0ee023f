"""A stand-in for a worker on the platform's interface, which can start again."""

import asyncio
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.entry.http_server import HttpServer

FIRST_BORN_MS = 1_780_000_000_000
LIST_INTERVAL_S = 0.02


class FakeWorker:
    """A worker that keeps its identifier and address when its process starts again.

    `seen_up_to` holds, for each of its processes, the numbers up to which ends were forgotten, and
    `starts` the runs that each process was told to start. Its clock runs from the process's start.
    """

    def __init__(self, identifier: str = "i-1") -> None:
        self.identifier = identifier
        self.born_ms = FIRST_BORN_MS
        self.starts: list[list[tuple[str, int]]] = []
        self.seen_up_to: list[list[int]] = []
        self.server: HttpServer | None = None
        self.port = 0
        self.begin_process()

    def begin_process(self) -> None:
        """Begins a process that knows nothing of the one before."""
        self.sequence = 0
        self.running: dict[str, int] = {}
        self.ended: list[tuple[int, str, int, str]] = []
        self.end_count = 0
        self.clock_from_s = asyncio.get_running_loop().time()
        self.starts.append([])
        self.seen_up_to.append([])

    async def listen(self) -> None:
        """Accepts calls, on the same port after a crash."""
        routes = [
            Route(f"/cicadatray/{call}", handler, methods=["POST"])
            for call, handler in (
                ("run-start", self.start),
                ("run-stop", self.stop),
                ("hold", self.hold),
            )
        ]
        self.server = HttpServer(Starlette(routes=routes), "127.0.0.1", self.port)
        await self.server.start()
        self.port = self.server.server.servers[0].sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Loses everything and refuses connections until `listen`."""
        assert self.server is not None
        await self.server.stop()
        self.born_ms += 3_000
        self.begin_process()

    async def close(self) -> None:
        if self.server is not None:
            await self.server.stop()

    def announcement(self, state: str = "ready") -> bytes:
        """Returns the next announcement of the process."""
        self.sequence += 1
        document = {
            "Service": "pool",
            "Address": f"127.0.0.1:{self.port}",
            "Zone": "north",
            "State": state,
            "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpus": 8},
            "Labels": ["a", "r1"],
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
            "born": self.born_ms,
        }
        return msgspec.json.encode(document)

    def clock_ms(self) -> int:
        """Returns the time of the process's own clock."""
        return 1_000 + int((asyncio.get_running_loop().time() - self.clock_from_s) * 1000)

    def finish(self, task: str, outcome: str = "done") -> None:
        """Ends a run, with the next number of the process."""
        self.end_count += 1
        self.ended.append((self.end_count, task, self.running.pop(task), outcome))

    async def start(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        self.starts[-1].append((order["Task"], order["Run"]))
        self.running[order["Task"]] = order["Run"]
        return self._answer({})

    async def stop(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        if order["Task"] in self.running:
            self.finish(order["Task"], "stopped")
        return self._answer({})

    async def hold(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        seen_up_to = order["SeenUpto"]
        self.seen_up_to[-1].append(seen_up_to)
        self.ended = [end for end in self.ended if end[0] > seen_up_to]
        until_s = asyncio.get_running_loop().time() + order.get("WaitMs", 0) / 1000
        while not self.ended and asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(LIST_INTERVAL_S)
        running = [[task, run, "", 10] for task, run in self.running.items()]
        ended = [[number, task, run, how, ""] for number, task, run, how in self.ended]
        return self._answer({"Running": running, "Ended": ended, "born": self.born_ms})

    def _answer(self, content: dict[str, Any]) -> Response:
        return Response(msgspec.json.encode({"ClockMs": self.clock_ms(), **content}))
