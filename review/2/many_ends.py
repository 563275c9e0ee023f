"""Rule TWICE: more than 500 tasks of one minion end while all of the core is down."""

import asyncio
import signal
from pathlib import Path

from case import run_case
from deployment import CaseError, Deployment
from record import Record

JOB = "5c0e7a21d94b36fa"
TASKS = 600
WORK_S = 8.0
# DEPLOY.md: "back within a second".
OUTAGE_S = 0.9
CONTROLS = ("control-0", "control-1", "control-2")


async def many_ends(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    minion = deployment.minion(0, 1)
    await minion.start()
    await asyncio.sleep(2.0)
    # 60 of the minion's 64 cores.
    step = {"Count": TASKS, "Cpu": 100, "MemMb": 10, "EstimateMs": int(WORK_S * 1000)}
    await deployment.submit(JOB, {"Spec": f"work={WORK_S}", "Steps": [step]})
    deadline_s = record.now_s() + 20.0
    while len(record.of_kind("start")) < TASKS:
        if record.now_s() > deadline_s:
            raise CaseError("not all tasks were started")
        await asyncio.sleep(0.05)
    first_start_s = record.of_kind("start")[0][0]
    await asyncio.sleep(max(0.0, first_start_s + WORK_S - 0.3 - record.now_s()))
    if has_trouble:
        for name in CONTROLS:
            deployment.signal(name, signal.SIGKILL)
        await asyncio.sleep(OUTAGE_S)
        for name in CONTROLS:
            deployment.start_program(name)
    deadline_s = record.now_s() + 40.0
    while record.now_s() < deadline_s and await deployment.state(JOB) != "done":
        await asyncio.sleep(0.5)
    await asyncio.sleep(3.0)
    record.say(f"starts: {len(record.of_kind('start'))}, noted: {minion.seen_up_to}")
    return starts_after_done(record)


def starts_after_done(record: Record) -> list[str]:
    """Returns the starts after a run that ended `done` and whose end was taken note of at any time.

    An end is excused if the lease of the minion lapsed between the end and the note.
    """
    lapses_s = [time_s for time_s, _, _ in record.of_kind("lease lapse")]
    notes = [(time_s, int(str(fields["n"]))) for time_s, _, fields in record.of_kind("seen up to")]
    done_s: dict[str, float] = {}
    for time_s, _, fields in record.of_kind("end"):
        number = int(str(fields["n"]))
        noted_s = next((note_s for note_s, up_to in notes if up_to >= number), None)
        if fields["how"] != "done" or noted_s is None:
            continue
        if not any(time_s <= lapse_s <= noted_s for lapse_s in lapses_s):
            done_s.setdefault(str(fields["task"]), time_s)
    return [
        f"{fields['task']} run {fields['run']} started at {time_s:.3f} s, done at "
        f"{done_s[str(fields['task'])]:.3f} s"
        for time_s, _, fields in record.of_kind("start")
        if time_s > done_s.get(str(fields["task"]), 1e9)
    ]


run_case(Path(__file__).resolve().parent, 1, many_ends)
