"""The steps of a task graph."""

import msgspec

from cicadatray.scheduling.taskgraphs.resources import Resources


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A set of equal tasks that may run in parallel.

    `depends_on` lists the indexes of earlier steps whose tasks must all be done before this step
    starts. `is_gang`: the tasks make progress only while all of them run, and end together.
    `is_rack_local`: the tasks are slow when they run in more than one rack. `data_rack` names the
    rack outside which each task is slow. `max_per_worker` 0 sets no limit. `is_long_running`: the
    tasks run until the graph is cancelled and are restarted whenever they end. `is_filler`: the
    tasks use the processors that other tasks leave idle, so their `cpu_millis` is not charged
    against any capacity. Placement does not use `is_speculative`, `image`, `latency_target_s` and
    `max_unavailable`.
    """

    count: int
    needs: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    is_checkpointable: bool = False
    is_gang: bool = False
    is_rack_local: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    latency_target_s: float = 0.0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def demand(self) -> Resources:
        """The resources that one task is charged on a worker."""
        if not self.is_filler:
            return self.needs
        return Resources(0, self.needs.memory_mb, self.needs.accelerators)
