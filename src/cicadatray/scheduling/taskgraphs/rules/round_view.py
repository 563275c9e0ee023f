"""What the rules of one round see."""

from collections.abc import Collection, Generator, Sequence

from cicadatray.scheduling.taskgraphs.placement_plan import PlacementPlan
from cicadatray.scheduling.taskgraphs.rules.rule_memory import RuleMemory
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.runs_by_end import RunsByEnd
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


class RoundView:
    """The state of one placement round, which changes as the round assigns and displaces work.

    `now_s` is in seconds since 1970. `running` no longer has work that the round has displaced.
    Rules do not change anything here except `memory`.

    `by_end` orders the running work by its expected ends, once that is needed.
    """

    __slots__ = ("by_end", "memory", "now_s", "plan", "running", "start_limits", "workers")

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
        self.by_end: RunsByEnd | None = None

    def index_running(self) -> Generator[None, None, None]:
        """Orders the running work by its ends, unless it is; yields where the caller may pause."""
        if self.by_end is None:
            by_end = RunsByEnd()
            yield from by_end.add(self.running)
            self.by_end = by_end

    def running_by_end(self) -> RunsByEnd:
        """Returns the running work by its ends, which takes long unless it is indexed."""
        for _ in self.index_running():
            pass
        assert self.by_end is not None
        return self.by_end

    def remove_displaced(self, victims: Collection[RunningWork]) -> None:
        """Removes running work that is about to be stopped."""
        displaced = set(victims)
        self.running[:] = [work for work in self.running if work not in displaced]
        if self.by_end is not None:
            self.by_end.displaced |= displaced
