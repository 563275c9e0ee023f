"""One job with many steps that can all start at once."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_3"))

from case import run_case  # noqa: E402
from deployment import HAS_TROUBLE, Client, configuration  # noqa: E402
from minion import Minion  # noqa: E402

SMALL = [{"Count": 1, "Cpu": 1000, "MemMb": 64, "Gpus": 1, "EstimateMs": 500}]
# A body of 155 KB; the configuration allows 256 KiB.
WIDE = 2000 * SMALL
FIRST_JOB = "00000000000000a1"
WIDE_JOB = "00000000000000ff"
WORK_S = 0.5
FINISH_S = 14.0
# A client asks again for this long before the job counts as not answered.
ASK_FOR_S = 10.0
LONGEST_REST_S = 3.0
POLL_S = 0.05


async def ask(client, job):
    """Returns the state of a job as the first entry tells it that answers in time, or nothing."""
    deadline_s = time.monotonic() + ASK_FOR_S
    while time.monotonic() < deadline_s:
        for machine in client.deployment.fronts:
            _, state = await client.read(job, machine)
            if state:
                return state
        await asyncio.sleep(0.5)
    return ""


async def rest_s(minions):
    """Returns for how long nothing runs from now on, but no longer than is allowed."""
    began_s = time.monotonic()
    while time.monotonic() < began_s + LONGEST_REST_S:
        if any(minion.runs for minion in minions):
            break
        await asyncio.sleep(POLL_S)
    return time.monotonic() - began_s


async def play(deployment):
    deployment.start()
    await deployment.set_configuration(configuration())
    await deployment.wait_until_ready()
    runs = {}
    minions = [
        Minion(deployment, machine, number, runs, WORK_S)
        for number, machine in enumerate(deployment.sides)
    ]
    for minion in minions:
        await minion.start()
    await asyncio.sleep(2.0)
    client = Client(deployment)
    jobs = [FIRST_JOB]
    assert await client.submit(FIRST_JOB, SMALL)
    assert await client.wait_for(FIRST_JOB, ("done",), 10.0) == "done"
    if HAS_TROUBLE:
        assert await client.submit(WIDE_JOB, WIDE)
        jobs.append(WIDE_JOB)
    # More traffic; only what is accepted is asked for.
    for number in range(4):
        job = f"00000000000000b{number}"
        if await client.submit(job, SMALL):
            jobs.append(job)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    rested_s = await rest_s(minions)
    deployment.record.write(f"nothing runs on any minion for {rested_s:.1f} s")
    breaks = []
    for job in jobs:
        state = await ask(client, job)
        if not state:
            breaks.append(f"LOST: accepted job {job} gets no answer for {ASK_FOR_S:.0f} s")
        elif state != "done" and rested_s >= LONGEST_REST_S:
            breaks.append(f"LOST: accepted job {job} is {state}, and nothing runs on idle minions")
    leaders = sum(m.log_text("control").count('"leadership began"') for m in deployment.fronts)
    deployment.record.write(f"elections won since the start: {leaders}")
    for minion in minions:
        minion.crash()
    return breaks


run_case(play, 3, FOLDER)
