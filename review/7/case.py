"""A machine beside a minion is suspended for some seconds, with its minion."""

import asyncio
import signal

from common_2.case import main
from common_2.deployment import Deployment, new_job_id
from common_2.minion import find_overlaps

MINIONS = 3
WORK_S = 30.0
SUSPENDED_S = 7.0
WATCHED_S = 12.0
# Overlaps shorter than this are not counted: the times are those of the stand-ins.
SLACK_S = 0.05


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Returns the tasks that ran twice at the same time."""
    record = deployment.record
    await deployment.set_up()
    job = new_job_id()
    step = {"Count": 1, "Cpu": 8000, "MemMb": 4096, "Gpus": 1, "EstimateMs": 30000}
    await deployment.submit(job, [step])
    while not deployment.runs:
        await asyncio.sleep(0.05)
    await asyncio.sleep(3.0)
    first = deployment.runs[0]
    number = deployment.minions.index(first.minion)
    agent = deployment.agents[number]
    if has_trouble:
        # The machine stands still as a whole: its process of the system, its minion, and the
        # minion's steady clock.
        agent.signal(signal.SIGSTOP)
        first.minion.suspend()
        await asyncio.sleep(SUSPENDED_S)
        first.minion.resume()
        agent.signal(signal.SIGCONT)
    else:
        await asyncio.sleep(SUSPENDED_S)
    await asyncio.sleep(WATCHED_S)
    await deployment.state(job)
    return [
        f"TWICE: {one.task}: run {one.number} on {one.minion.identifier} and run {two.number} on"
        f" {two.minion.identifier} at the same time for {shared_s:.2f} s"
        for one, two, shared_s in find_overlaps(deployment.runs, record.now_s())
        if shared_s > SLACK_S
    ]


main(__file__, play, MINIONS, WORK_S)
