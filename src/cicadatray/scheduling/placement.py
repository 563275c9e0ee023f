"""The accelerators on which a gang runs."""

import msgspec


class WorkerShare(msgspec.Struct, frozen=True):
    """The number of accelerators that a gang uses on one worker."""

    worker_id: str
    accelerators: int


class Placement(msgspec.Struct, frozen=True):
    """All shares of a gang; each worker occurs at most once."""

    shares: tuple[WorkerShare, ...]
