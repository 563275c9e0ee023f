"""The control leader freezes while clients hand jobs in, and a key of theirs is taken away."""

import asyncio
import signal
from collections import Counter

from common_2.case import main
from common_2.deployment import KEY, CannotRunError, Deployment, Program, new_job_id

MINIONS = 3
WORK_S = 0.2
ROUNDS = 10
CLIENTS = 30
# The clients press for this long before each freeze.
TRAFFIC_S = 1.0
FROZEN_S = 4.0
CALM_S = 4.0
STEP = {"Count": 1, "Cpu": 10, "MemMb": 1, "EstimateMs": 200}
ACCEPTED = 200
REJECTED = (400, 401, 403, 404, 409, 422, 429, 503)


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Returns the jobs that started though each attempt to hand them in was rejected."""
    await deployment.set_up()
    answers: dict[str, list[int]] = {}
    for number in range(ROUNDS):
        key = f"d{number}hrr6x73d3zji9n7aa"
        await deployment.configure(deployment.configuration((KEY, key)), 20.0)
        await _play_round(deployment, has_trouble, key, answers)
    await asyncio.sleep(CALM_S)
    started = {run.task.partition(".")[0] for run in deployment.runs}
    counts = Counter(status for statuses in answers.values() for status in statuses)
    deployment.record.write(f"answers to submissions: {dict(counts)}")
    return [
        f"REFUSED: job {job} was answered {statuses} and has started"
        for job, statuses in answers.items()
        if job in started and all(status in REJECTED for status in statuses)
    ]


async def _play_round(
    deployment: Deployment, has_trouble: bool, key: str, answers: dict[str, list[int]]
) -> None:
    is_over = asyncio.Event()

    async def hand_in(client: int) -> None:
        """Hands jobs in, one after the other; repeats those without a clear answer."""
        while not is_over.is_set():
            job = new_job_id()
            statuses = answers[job] = []
            for attempt in range(5):
                body = {"Spec": "x", "Steps": [STEP]}
                status, _ = await deployment.client_call("POST", job, body, client + attempt, key)
                statuses.append(status)
                if status not in (0, 502, 504):
                    break
            await asyncio.sleep(0.0 if status == ACCEPTED else 0.1)

    clients = [asyncio.create_task(hand_in(number)) for number in range(CLIENTS)]
    await asyncio.sleep(TRAFFIC_S)
    leader = await _find_leader(deployment)
    if has_trouble:
        leader.signal(signal.SIGSTOP)
    # An operator takes the key away; the confirmation comes once there is a leader. The instance that
    # the operator picks first is not the frozen one.
    first = (deployment.controls.index(leader) + 1) % len(deployment.controls)
    confirmation = asyncio.create_task(
        deployment.configure(deployment.configuration(), 20.0, first)
    )
    if has_trouble:
        await asyncio.sleep(FROZEN_S)
        leader.signal(signal.SIGCONT)
    await confirmation
    is_over.set()
    await asyncio.gather(*clients)


async def _find_leader(deployment: Deployment) -> Program:
    """Returns the control process that has reported last that it leads."""
    latest = {}
    for control in deployment.controls:
        for line in control.read_log().splitlines():
            if '"event":"leading"' in line:
                latest[line.rpartition('"timestamp":"')[2]] = control
    if not latest:
        raise CannotRunError("no leader")
    return latest[max(latest)]


main(__file__, play, MINIONS, WORK_S)
