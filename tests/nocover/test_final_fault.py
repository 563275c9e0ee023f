"""Tests of reads after a fault that ended all processes, with the deployed programs."""

import asyncio
import os
import socket
from pathlib import Path

import pytest

from cover.platform.documents import CONFIGURATION, JOB
from nocover.platform_programs import POLL_S, Program, call, poll_until

# Each program has an address of its own, since ports are the same on all instances. The rows of a
# table may run at the same time in several processes of the test runner.
TEST_PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
MEMBERS = tuple(f"127.0.{TEST_PROCESS + 1}.{number}" for number in (31, 32, 33))
STAYING, CHANGED, GONE = MEMBERS
FORWARDER, FIRST_ENTRY, SECOND_ENTRY = (
    f"127.0.{TEST_PROCESS + 1}.{number}" for number in (34, 35, 36)
)
ENTRIES = (FIRST_ENTRY, SECOND_ENTRY)
FIRST_PORT = 23_640
INTERNAL_PORTS = (FIRST_PORT, FIRST_PORT + 7)
CLIENTS, READINESS, CONTROL = range(FIRST_PORT + 8, FIRST_PORT + 11)
JOB_PATHS = tuple(f"/fast/{number:016x}" for number in range(4))
# An election takes up to 1 s, and a start of the programs up to a few seconds.
RECOVERY_LIMIT_S = 25.0
READS_AFTER_RECOVERY = 30


def settings_text(host: str, role: str, seeds: tuple[str, ...], folder: Path, first: bool) -> str:
    data_folder = f'DataDir = "{folder}/{host}"' if host in MEMBERS else ""
    return f"""
NodeName = "{role}-{host}"
Role = "{role}"
Ip = "{host}"
Zone = "north"
InternalPorts = [{INTERNAL_PORTS[0]}, {INTERNAL_PORTS[1]}]
Seeds = [{", ".join(f'"{seed}:{CONTROL}"' for seed in seeds)}]
Bootstrap = {"true" if first else "false"}
{data_folder}
[Listen]
Front = "{host}:{CLIENTS}"
Ready = "{host}:{READINESS}"
Control = "{host}:{CONTROL}"
[FaultTolerance]
Machines = 1
[Bounds]
MaxHoldMs = 6000
GraceS = 6
"""


class Deployment:
    """Three control processes with a replica, one without, and two entries."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.programs: dict[str, Program] = {}
        for host in (*MEMBERS, FORWARDER, *ENTRIES):
            (folder / host).mkdir()
            self.programs[host] = Program(f"{self.role(host)}-{host}", folder)

    def role(self, host: str) -> str:
        return "entry" if host in ENTRIES else "control"

    def configure(self, seeds: dict[str, tuple[str, ...]], first: bool) -> None:
        for host, program in self.programs.items():
            own_seeds = seeds.get(host, MEMBERS)
            text = settings_text(host, self.role(host), own_seeds, self.folder, first)
            program.configure(text)

    def start(self, *hosts: str) -> None:
        for host in hosts:
            self.programs[host].start()

    def kill(self) -> None:
        for program in self.programs.values():
            program.kill()


class UnansweringMachine:
    """Holds the ports of a machine; connections to them open and are never answered."""

    def __init__(self, host: str) -> None:
        self.sockets = [socket.create_server((host, port)) for port in (*INTERNAL_PORTS, CONTROL)]

    def close(self) -> None:
        for listener in self.sockets:
            listener.close()


async def accept_jobs() -> None:
    await poll_until(
        lambda a: a[0] == 200, "PUT", STAYING, CONTROL, "/cicadatray/config", CONFIGURATION
    )
    for entry in ENTRIES:
        await poll_until(lambda a: a[0] == 200, "GET", entry, READINESS, "/cicadatray/ready")
    for path in JOB_PATHS:
        await poll_until(lambda a: a[0] == 200, "POST", FIRST_ENTRY, CLIENTS, path, JOB)


async def read_at(entry: str) -> None:
    """Reads each job once it is answered, and again and again after that."""
    for path in JOB_PATHS:
        await poll_until(lambda a: a == (200, {"State": "queued"}), "GET", entry, CLIENTS, path)
    for number in range(READS_AFTER_RECOVERY):
        path = JOB_PATHS[number % len(JOB_PATHS)]
        assert await call("GET", entry, CLIENTS, path) == (200, {"State": "queued"})
        await asyncio.sleep(POLL_S)


async def read_everywhere() -> None:
    await asyncio.gather(*(read_at(entry) for entry in ENTRIES))


@pytest.mark.parametrize("is_silent", [False, True], ids=["refuses connections", "does not answer"])
@pytest.mark.parametrize(
    "seeds",
    [
        {CHANGED: (FORWARDER,)},
        {CHANGED: (FORWARDER,), SECOND_ENTRY: (GONE, FORWARDER)},
        {CHANGED: (FORWARDER,), SECOND_ENTRY: (GONE, FORWARDER), FORWARDER: (GONE, FORWARDER)},
    ],
    ids=["of a member", "of an entry", "of the instance without a replica"],
)
def test_every_entry_reads_jobs_after_the_loss_of_one_machine(
    seeds: dict[str, tuple[str, ...]], is_silent: bool, tmp_path: Path
) -> None:
    """Guards against entries that never answer again after all processes were ended at once.

    One control instance is gone for good, and the seeds of others have changed.
    """
    deployment = Deployment(tmp_path)
    others = tuple(host for host in deployment.programs if host != GONE)
    gone: UnansweringMachine | None = None
    try:
        deployment.configure({}, first=True)
        deployment.start(*deployment.programs)
        asyncio.run(asyncio.wait_for(accept_jobs(), RECOVERY_LIMIT_S))
        deployment.configure(seeds, first=False)
        deployment.kill()
        gone = UnansweringMachine(GONE) if is_silent else None
        deployment.start(*others)
        asyncio.run(asyncio.wait_for(read_everywhere(), RECOVERY_LIMIT_S))
    finally:
        deployment.kill()
        if gone is not None:
            gone.close()
