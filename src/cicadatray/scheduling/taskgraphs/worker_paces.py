"""The paces of the runs of one worker."""

from collections import deque

from cicadatray.scheduling.taskgraphs.ended_run import EndedRun
from cicadatray.scheduling.taskgraphs.run_pace import RunPace
from cicadatray.scheduling.taskgraphs.speed_solver import WORKER_DEVIATION

MAX_ENDED_RUNS = 8
MAX_ENDED_GANGS = 4


class WorkerPaces:
    """What is kept of one worker: its followed runs, its last ended ones and the solution.

    `worked_s` is for how long the worker was seen with runs.
    """

    __slots__ = (
        "effect",
        "ended",
        "ended_gangs",
        "last_report_s",
        "observations",
        "pool",
        "runs",
        "variance",
        "worked_s",
    )

    def __init__(self, pool: str, now_s: float) -> None:
        self.pool = pool
        self.last_report_s = now_s
        self.worked_s = 0.0
        self.runs: dict[str, RunPace] = {}
        self.ended: deque[EndedRun] = deque(maxlen=MAX_ENDED_RUNS)
        self.ended_gangs: deque[EndedRun] = deque(maxlen=MAX_ENDED_GANGS)
        self.effect = 0.0
        self.variance = WORKER_DEVIATION**2
        self.observations = 0
