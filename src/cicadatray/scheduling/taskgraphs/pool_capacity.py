"""The capacity of a pool, and the waves in which wide steps run there."""

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

# The platform sets the objective of a job as if a step could use at most this share of its pool at
# a time, so that the tasks of a wider step run in several waves.
STEP_SHARE = 0.25


class PoolCapacity:
    """The total capacity of the workers of one pool, whether they are free or not."""

    __slots__ = ("total",)

    def __init__(self) -> None:
        self.total = Resources()

    def add(self, capacity: Resources) -> None:
        """Adds one worker."""
        self.total = self.total.plus(capacity)

    def graph_waves(self, graph: TaskGraph) -> tuple[float, ...]:
        """Returns the waves of each step of the graph.

        They are computed once for each capacity of the pool.
        """
        times = graph.derived_times
        if times.waves_by_total is None or times.waves_by_total[0] != self.total:
            waves = tuple(self.step_waves(step) for step in graph.steps)
            times.waves_by_total = (self.total, waves)
        return times.waves_by_total[1]

    def step_waves(self, step: Step) -> float:
        """Returns in how many waves the step's share of the pool runs all tasks.

        The number is at least 1 and not rounded up, so that deadlines are rather too early than
        too late. All tasks of a gang run at once.
        """
        if step.is_gang:
            return 1.0
        demand, total = step.demand, self.total
        shares = (
            demand.cpu_millis / max(1, total.cpu_millis),
            demand.memory_mb / max(1, total.memory_mb),
            demand.accelerators / max(1, total.accelerators),
        )
        return max(1.0, step.count * max(shares) / STEP_SHARE)
