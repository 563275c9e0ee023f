"""What the rules of one round see."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class RoundView:
    """The state of one placement round, which changes as the round assigns and displaces work.

    `now_s` is in seconds since 1970. `running` no longer has work that the round has displaced.
    Rules do not change anything here except `memory`.
    """

    __slots__ = ("memory", "now_s", "plan", "running", "start_limits", "workers")

    def __init__(
        self,
        workers: Sequence[WorkerCapacity],
        running: Sequence[RunningWork],
        now_s: float,
        start_limits: StartLimits,
        memory: RuleMemory,
    ) -> None:
        self.workers = list(workers)
        self.running = list(running)
        self.now_s = now_s
        self.start_limits = start_limits
        self.memory = memory
        self.plan = PlacementPlan()
