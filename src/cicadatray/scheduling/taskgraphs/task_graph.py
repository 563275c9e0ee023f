"""Task graphs."""

from collections.abc import Sequence
from functools import cached_property

import msgspec

from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step


class Repetition(msgspec.Struct, frozen=True, array_like=True):
    """The schedule of a graph that runs several times.

    Occurrence k is due at `first_due_s + k * interval_s`, in seconds since 1970.
    """

    count: int
    first_due_s: float
    interval_s: float


class _DerivedTimes:
    """Times that follow from the steps of a graph and the waves of each step.

    `waves_by_total` holds the waves for one capacity of the pool.
    """

    __slots__ = ("critical_path_s", "critical_paths_s", "waves", "waves_by_total")

    def __init__(self) -> None:
        self.waves: Sequence[float] | None = None
        self.critical_paths_s: list[float] = []
        self.critical_path_s = 0.0
        self.waves_by_total: tuple[Resources, tuple[float, ...]] | None = None


class TaskGraph(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """A job as a directed acyclic graph of steps.

    `spec` is passed unchanged to every task. `policy` is the policy of the graph's queue at the
    time of acceptance, so that a later change of the queue neither moves a job to other workers nor
    reduces its attempts. `waves` has the waves in which the tasks of each step run; without it, all
    tasks of a step count as running at once.
    """

    graph_id: str
    client_account: str
    policy: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None

    @property
    def occurrences(self) -> int:
        """The number of times that the steps run."""
        return self.repetition.count if self.repetition else 1

    def due_s(self, occurrence: int) -> float:
        """Returns the due time of an occurrence in seconds since 1970; 0 without repetition."""
        if self.repetition is None:
            return 0.0
        return self.repetition.first_due_s + occurrence * self.repetition.interval_s

    def critical_path_s(self, waves: Sequence[float] = ()) -> float:
        """Returns the length of the critical path of estimates through the graph."""
        return self._times(waves).critical_path_s

    def objective_s(self, waves: Sequence[float] = ()) -> float:
        """Returns how long one occurrence of the graph may take and still be on time."""
        return self.policy.stretch * self.critical_path_s(waves) + self.policy.target_latency_s

    def critical_path_from_s(self, step: int, waves: Sequence[float] = ()) -> float:
        """Returns the length of the longest path of estimates that begins with a step."""
        return self._times(waves).critical_paths_s[step]

    @cached_property
    def accelerators(self) -> int:
        """The accelerators of all tasks of all occurrences."""
        return self.occurrences * sum(step.count * step.needs.accelerators for step in self.steps)

    @cached_property
    def derived_times(self) -> _DerivedTimes:
        """The times that were computed last, which are not part of the encoded graph."""
        return _DerivedTimes()

    def _times(self, waves: Sequence[float]) -> _DerivedTimes:
        """Returns the times with these waves.

        A round needs them for each task. The waves of a graph change only with its pool, so that
        they are mostly the same object as before.
        """
        times = self.derived_times
        if times.waves is not waves and times.waves != waves:
            times.critical_paths_s = self._critical_paths_s(waves)
            times.critical_path_s = max(times.critical_paths_s, default=0.0)
        times.waves = waves
        return times

    def _critical_paths_s(self, waves: Sequence[float]) -> list[float]:
        lengths = [0.0] * len(self.steps)
        longest_after = [0.0] * len(self.steps)
        for number in range(len(self.steps) - 1, -1, -1):
            step = self.steps[number]
            step_s = step.estimate_s * (waves[number] if waves else 1.0)
            lengths[number] = step_s + longest_after[number]
            for earlier in step.depends_on:
                longest_after[earlier] = max(longest_after[earlier], lengths[number])
        return lengths
