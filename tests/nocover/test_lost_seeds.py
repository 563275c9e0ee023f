"""Tests of processes whose seeds are gone or have lost their disk, with the platform's programs."""

import asyncio
import os
import shutil
from pathlib import Path

import pytest

from cover.platform.documents import CONFIGURATION, JOB
from nocover.platform_programs import Program, call, poll_until

TEST_PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
NETWORK = f"127.0.{TEST_PROCESS + 1}"
MEMBERS = tuple(f"{NETWORK}.{number}" for number in (11, 12, 13))
WIPED = MEMBERS[2]
ENTRY = f"{NETWORK}.14"
GONE = f"{NETWORK}.19"
FIRST_PORT = 23_620
CLIENTS, READINESS, CONTROL = range(FIRST_PORT + 8, FIRST_PORT + 11)
JOB_PATH = "/fast/00000000000000ab"
# An election takes up to 1 s, and a start of the programs up to a few seconds.
RECOVERY_LIMIT_S = 25.0


def settings_text(host: str, seeds: tuple[str, ...], folder: Path, is_first_start: bool) -> str:
    role = "entry" if host == ENTRY else "control"
    data_folder = "" if host == ENTRY else f'DataDir = "{folder}/data-{host}"'
    quoted = ", ".join(f'"{seed}:{CONTROL}"' for seed in seeds)
    return f"""
NodeName = "{role}-{host}"
Role = "{role}"
Ip = "{host}"
Zone = "north"
InternalPorts = [{FIRST_PORT}, {FIRST_PORT + 7}]
Seeds = [{quoted}]
Bootstrap = {"true" if is_first_start else "false"}
{data_folder}
[Listen]
Front = "{host}:{CLIENTS}"
Ready = "{host}:{READINESS}"
Control = "{host}:{CONTROL}"
[FaultTolerance]
[Bounds]
MaxHoldMs = 6000
GraceS = 6
"""


async def accept_job() -> None:
    await poll_until(
        lambda a: a[0] == 200, "PUT", MEMBERS[0], CONTROL, "/cicadatray/config", CONFIGURATION
    )
    await poll_until(lambda a: a[0] == 200, "GET", ENTRY, READINESS, "/cicadatray/ready")
    await poll_until(lambda a: a[0] == 200, "POST", ENTRY, CLIENTS, JOB_PATH, JOB)
    # All members have a copy of the job, so that any two of them may be lost or not.
    for host in MEMBERS:
        await poll_until(lambda a: a[0] == 200, "GET", host, CONTROL, "/cicadatray/config")


async def read_job() -> None:
    await poll_until(lambda a: a == (200, {"State": "queued"}), "GET", ENTRY, CLIENTS, JOB_PATH)


@pytest.mark.parametrize("restarted", [(WIPED, ENTRY), (*MEMBERS, ENTRY)], ids=["seed", "all"])
def test_leader_is_found_through_a_seed_that_has_lost_its_disk(
    restarted: tuple[str, ...], tmp_path: Path
) -> None:
    """Guards against jobs that no entry can read and no worker runs after a final fault.

    The other seed is gone for good. The group has a leader, and nobody told the seed where.
    """
    hosts = (*MEMBERS, ENTRY)
    programs = {host: Program(f"program-{host}", tmp_path) for host in hosts}
    try:
        for host, program in programs.items():
            program.configure(settings_text(host, MEMBERS, tmp_path, is_first_start=True))
            program.start()
        asyncio.run(asyncio.wait_for(accept_job(), RECOVERY_LIMIT_S))
        for host, program in programs.items():
            program.configure(settings_text(host, (WIPED, GONE), tmp_path, is_first_start=False))
        for host in restarted:
            programs[host].kill()
        shutil.rmtree(tmp_path / f"data-{WIPED}")
        for host in restarted:
            programs[host].start()
        asyncio.run(asyncio.wait_for(read_job(), RECOVERY_LIMIT_S))
        assert asyncio.run(call("GET", WIPED, CONTROL, "/cicadatray/config"))[0] == 200
    finally:
        for program in programs.values():
            program.kill()
