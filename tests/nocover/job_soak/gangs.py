"""Gangs: tasks that work and end together."""

import asyncio

from nocover.job_soak.job import FAR_FACTOR, Job
from nocover.job_soak.run import Run

GANG_WAIT_S = 3.0


class Gangs:
    """The members of each run of a gang that are present."""

    __slots__ = ("present",)

    def __init__(self) -> None:
        self.present: dict[tuple[str, int, int], list[Run]] = {}

    def join(self, job: Job, run: Run, work_s: float) -> None:
        """Adds a member; all begin to work once all are present."""
        step = job.steps[run.step]
        members = self.present.setdefault((run.job_id, run.step, run.number), [])
        members.append(run)
        if len({member.task for member in members}) < step.count:
            run.end_after(GANG_WAIT_S, "alone")
            return
        racks = {member.worker.labels[-1] for member in members}
        work_s *= FAR_FACTOR if step.is_rack_local and len(racks) > 1 else 1.0
        for member in members:
            member.work_s = work_s
            member.cancel_end()
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(work_s, self._finish, members)

    def leave(self, run: Run, how: str) -> None:
        """Ends the other members because one has ended otherwise than as done."""
        members = self.present.get((run.job_id, run.step, run.number), [])
        if run in members:
            members.remove(run)
        if how != "done":
            for member in list(members):
                if member.work_s:
                    member.end_after(0.0, "broken")

    def _finish(self, members: list[Run]) -> None:
        for member in list(members):
            member.worker.end(member, "done")
