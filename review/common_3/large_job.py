"""A case in which one accepted job stops the service."""

import asyncio
import time

from deployment import HAS_TROUBLE, Client, configuration
from minion import Minion

SMALL = [{"Count": 1, "Cpu": 1000, "MemMb": 64, "Gpus": 1, "EstimateMs": 500}]
FIRST_JOB = "00000000000000a1"
LARGE_JOB = "00000000000000ff"
WORK_S = 0.5
FINISH_S = 14.0
# A client asks again for this long before the job counts as not answered.
ASK_FOR_S = 10.0
LONGEST_REST_S = 3.0
POLL_S = 0.05
# So many of the accepted jobs are asked for, so that the script ends in time.
ASKED_JOBS = 3


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


async def play_large_job(deployment, priority, steps):
    """Submits a job with these steps to a queue, and returns a text for each break of LOST."""
    deployment.start()
    await deployment.set_configuration(configuration(Priority=priority))
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
        assert await client.submit(LARGE_JOB, steps)
        jobs.append(LARGE_JOB)
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
    for job in jobs[:ASKED_JOBS]:
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
