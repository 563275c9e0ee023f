"""The check of LOST for a job that waits although a minion has room for it."""

import asyncio
import time

# `finish_s` of the settings, and for how long a job may then have nothing running.
FINISH_S = 14.0
LONGEST_REST_S = 3.0
POLL_S = 0.25


def _fits_twice(step, minions):
    """Returns whether sound minions have room for twice the tasks of a step."""
    room = 0
    for minion in minions:
        has_label = step.get("Requirements", "") in ("", *minion.labels)
        if minion.is_up and has_label and minion.state == "ready" and not minion.runs:
            room += min(minion.capacity[name] // step[name] for name in ("Cpu", "MemMb", "Gpus"))
    return room >= 2 * step["Count"]


async def find_waiting_job(client, job, minions, step):
    """Asks for a job `finish_s` after the end of the traffic.

    Returns a break if the job is not done, and has nothing running for 3 s more while its only
    step fits twice and nothing else runs.
    """
    state = await client.wait_for(job, ("done", "failed"), FINISH_S)
    if state == "done":
        return []
    began_s = time.monotonic()
    while time.monotonic() < began_s + LONGEST_REST_S:
        if any(minion.runs for minion in minions) or not _fits_twice(step, minions):
            return []
        await asyncio.sleep(POLL_S)
    _, state = await client.read(job)
    if state == "done":
        return []
    return [
        f"LOST: job {job} is {state!r} {FINISH_S + LONGEST_REST_S:.0f} s after the traffic, with "
        f"nothing running for {LONGEST_REST_S:.0f} s, room for it twice over and all minions idle"
    ]
