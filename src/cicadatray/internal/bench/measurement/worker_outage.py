"""A period in which a worker does not work."""

import msgspec


class WorkerOutage(msgspec.Struct, frozen=True):
    """The worker is lost, or fails every task it starts, between two times."""

    worker_id: str
    from_s: float
    to_s: float
