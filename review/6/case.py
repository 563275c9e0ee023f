"""An agent is killed shortly before the many tasks of its minion end, and starts again."""

import asyncio
import signal

from common_2.case import main
from common_2.deployment import RARE_KIND, Deployment, new_job_id
from common_2.minion import find_repeated

MINIONS = 10
TASKS = 600
TASK_CPU = 50
WORK_S = 6.0
# The agent is killed this long before the first task ends.
LEAD_S = 0.2
DOWN_S = 0.9
WATCHED_S = 25.0
# The longest that the pages allow.
SPEC_BYTES = 4000


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Returns the tasks that were started again after they had ended `done`."""
    record = deployment.record
    await deployment.set_up()
    job = new_job_id()
    step = {
        "Count": TASKS,
        "Cpu": TASK_CPU,
        "MemMb": 10,
        "EstimateMs": 6000,
        "Requirements": RARE_KIND,
    }
    await deployment.submit(job, [step], "x" * SPEC_BYTES)
    while len(deployment.runs) < TASKS:
        await asyncio.sleep(0.01)
    first_end_s = min(run.started_s for run in deployment.runs) + WORK_S
    last_end_s = max(run.started_s for run in deployment.runs) + WORK_S
    record.write(f"all runs have started; they end from {first_end_s:.2f} to {last_end_s:.2f} s")
    await asyncio.sleep(max(0.0, first_end_s - LEAD_S - record.now_s()))
    if has_trouble:
        agent = deployment.agents[-1]
        agent.signal(signal.SIGKILL)
        agent.end()
        await asyncio.sleep(DOWN_S)
        agent.start()
    until_s = record.now_s() + WATCHED_S
    state = ""
    while record.now_s() < until_s and state != "done":
        await asyncio.sleep(1.0)
        state = await deployment.state(job)
    await asyncio.sleep(2.0)
    repeated = find_repeated(deployment.runs)
    ended = [run for run in deployment.runs if run.how == "done"]
    record.write(
        f"{len(ended)} runs ended done, {sum(run.noted_s is not None for run in ended)} were taken"
        f" note of, {sum(run.has_lapsed for run in ended)} after a lapse"
    )
    breaks = [
        f"TWICE: {one.task}: run {one.number} ended done at {one.ended_s:.2f} s, which was taken"
        f" note of at {one.noted_s:.2f} s, and run {two.number} started at {two.started_s:.2f} s"
        for one, two in repeated
    ]
    return breaks[:5] + ([f"TWICE: {len(breaks)} tasks in all"] if breaks else [])


main(__file__, play, MINIONS, WORK_S)
