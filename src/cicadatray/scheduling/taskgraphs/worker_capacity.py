"""The state of a worker within one placement round."""

from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class WorkerCapacity:
    """The capacity of one worker during a placement round.

    `free` shrinks as the round places tasks. `free_after_stops` also counts what runs that are
    being stopped still occupy. A reserved worker accepts no further work in this round, because its
    capacity is reserved for work that waits for it, `reserved_for`. Tasks have failed repeatedly on
    a suspect worker. A worker on trial runs a task that may crash it, and accepts no other work
    until that task is known to be harmless. A cold worker has just started and is slow, so it takes
    urgent work only if nothing else fits. `run_count` is the number of runs on the worker. `speed`
    is relative to the typical worker of the pool, `speed_uncertainty` the standard deviation of its
    log.
    """

    __slots__ = (
        "capacity",
        "free",
        "free_after_stops",
        "is_cold",
        "is_on_trial",
        "is_reserved",
        "is_suspect",
        "labels",
        "pool",
        "rack",
        "reserved_for",
        "run_count",
        "speed",
        "speed_uncertainty",
        "worker_id",
    )

    def __init__(
        self,
        worker_id: str,
        pool: str,
        rack: str,
        labels: frozenset[str],
        capacity: Resources,
    ) -> None:
        self.worker_id = worker_id
        self.pool = pool
        self.rack = rack
        self.labels = labels
        self.capacity = capacity
        self.free = capacity
        self.free_after_stops = capacity
        self.run_count = 0
        self.is_cold = False
        self.speed = 1.0
        self.speed_uncertainty = 0.0
        self.is_on_trial = False
        self.is_reserved = False
        self.reserved_for: WaitingWork | None = None
        self.is_suspect = False

    def occupy(self, demand: Resources, is_stopping: bool = False) -> None:
        """Charges the demand of a run that exists on the worker."""
        self.run_count += 1
        self.free = self.free.minus(demand)
        if not is_stopping:
            self.free_after_stops = self.free_after_stops.minus(demand)

    def begin_trial(self) -> None:
        """Closes the worker to further work while it runs a task that may crash it."""
        self.is_on_trial = True
        self.is_reserved = True
