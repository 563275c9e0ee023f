"""Tests of the programs of deploy/system.toml as processes, with a fake worker and client."""

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.entry.http_server import HttpServer
from cover.platform.documents import ANNOUNCEMENT, CONFIGURATION, changed
from nocover.platform_programs import Program, call, poll_until

HOST = "127.0.0.1"
# The ports of the processes: eight internal ones, then those for clients, readiness, control and
# agent.
FIRST_PORT = 23_480
CLIENTS, READINESS, CONTROL, AGENT = range(FIRST_PORT + 8, FIRST_PORT + 12)
WORK_S = 0.3
JOB = {"Spec": "x", "Steps": [{"Count": 2, "Cpu": 500, "MemMb": 10, "Gpus": 1, "Gang": True}]}


def settings_text(role: str, folder: Path) -> str:
    return f"""
NodeName = "{role}-1"
Role = "{role}"
Ip = "{HOST}"
Zone = "north"
InternalPorts = [{FIRST_PORT}, {FIRST_PORT + 7}]
Seeds = ["{HOST}:{CONTROL}"]
Bootstrap = true
DataDir = "{folder}/data"
[Listen]
Front = "{HOST}:{CLIENTS}"
Ready = "{HOST}:{READINESS}"
Control = "{HOST}:{CONTROL if role == "control" else AGENT}"
[FaultTolerance]
[Bounds]
MaxHoldMs = 6000
GraceS = 6
"""


class FakeWorker:
    """Completes a gang of two tasks `WORK_S` after both have started."""

    def __init__(self) -> None:
        self.running: dict[str, int] = {}
        self.ended: list[list[Any]] = []

    def clock_ms(self) -> int:
        return int(time.monotonic() * 1000)

    async def answer(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        reply: dict[str, Any] = {"ClockMs": self.clock_ms()}
        if request.path_params["call"] == "run-start":
            self.running[body["Task"]] = body["Run"]
            if len(self.running) == 2:
                asyncio.get_running_loop().call_later(WORK_S, self._finish)
        elif request.path_params["call"] == "hold":
            seen = body["SeenUpto"]
            reply["Running"] = [[task, run, "", 50, 1] for task, run in self.running.items()]
            reply["Ended"] = [row for row in self.ended if row[0] > seen]
        return Response(msgspec.json.encode(reply))

    def _finish(self) -> None:
        for task, run in self.running.items():
            self.ended.append([len(self.ended) + 1, task, run, "done", ""])
        self.running.clear()


async def run_job() -> None:
    worker = FakeWorker()
    route = Route("/cicadatray/{call}", worker.answer, methods=["POST"])
    server = HttpServer(Starlette(routes=[route]), HOST, 0)
    await server.start()
    port = server.server.servers[0].sockets[0].getsockname()[1]
    announcement = changed(ANNOUNCEMENT, "Address", value=f"{HOST}:{port}")
    await poll_until(
        lambda a: a[0] == 200, "PUT", HOST, CONTROL, "/cicadatray/config", CONFIGURATION
    )
    await poll_until(
        lambda a: a[0] == 200, "PUT", HOST, AGENT, "/cicadatray/instances/i-1", announcement
    )
    await poll_until(lambda a: a[0] == 200, "GET", HOST, READINESS, "/cicadatray/ready")
    path = "/fast/00000000000000ab"
    assert (await call("POST", HOST, CLIENTS, path, JOB))[0] == 200
    await poll_until(lambda a: a == (200, {"State": "done"}), "GET", HOST, CLIENTS, path)
    assert (await call("POST", HOST, CLIENTS, path, JOB)) == (200, {"State": "done"})
    assert (await call("GET", HOST, CLIENTS, "/fast/00000000000000ac"))[0] == 410
    assert (await call("GET", HOST, CLIENTS, "/none/00000000000000ac"))[0] == 404
    assert (await call("GET", HOST, CONTROL, "/cicadatray/config")) == (200, CONFIGURATION)
    await server.stop()


def test_job_and_planned_stop(tmp_path: Path) -> None:
    """Guards against programs that do not start, connect to each other, run a job or stop."""
    programs = []
    try:
        for role in ("control", "entry", "agent"):
            program = Program(role, tmp_path)
            program.configure(settings_text(role, tmp_path))
            program.start()
            programs.append(program)
        asyncio.run(asyncio.wait_for(run_job(), 60.0))
        for program in programs:
            program.send(signal.SIGHUP)
            program.send(signal.SIGTERM)
        assert [program.wait(30) for program in programs] == [0, 0, 0]
    finally:
        for program in programs:
            program.kill()
