"""A step: equal tasks that may run side by side."""

import msgspec

from cicadatray.scheduling.taskgraphs.resources import Resources


class Step(msgspec.Struct, frozen=True, array_like=True):
    """`depends_on` numbers earlier steps whose tasks must all be done before this one starts.

    `is_gang`: the tasks work only while all of them run, and end together. `is_rack_local`: they
    are slow when they run in more than one rack. `data_rack` names the rack outside which each task
    is slow. `max_per_worker` 0 sets no limit. `is_long_running`: the tasks run until the graph is
    cancelled and are started again however they end. `is_filler`: the tasks take the processors
    that others leave, so their `cpu_millis` counts against no capacity.
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
        """The resources that one task takes from a worker."""
        if not self.is_filler:
            return self.needs
        return Resources(0, self.needs.memory_mb, self.needs.accelerators)
