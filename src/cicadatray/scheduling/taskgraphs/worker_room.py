"""The state of a worker within one placement round."""

from cicadatray.scheduling.taskgraphs.resources import Resources


class WorkerCapacity:
    """The capacity of one worker during a placement round.

    `free` shrinks as the round places tasks. `free_after_stops` also counts what runs that are
    being stopped still occupy. A closed worker accepts no further work in this round, because its
    capacity is reserved for a job that waits for it. A suspect worker has failed several tasks in a
    row.
    """

    __slots__ = (
        "capacity",
        "free",
        "is_closed",
        "is_suspect",
        "labels",
        "pool",
        "rack",
        "free_after_stops",
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
        self.is_closed = False
        self.is_suspect = False

    def occupy(self, room: Resources, is_stopping: bool = False) -> None:
        """Counts a run that exists on the worker."""
        self.free = self.free.minus(room)
        if not is_stopping:
            self.free_after_stops = self.free_after_stops.minus(room)
