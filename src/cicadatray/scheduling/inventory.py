"""The workers that the members contribute."""

import msgspec


class WorkerRecord(msgspec.Struct, frozen=True):
    """One worker; the name of its `rack` is unique only within its data centre."""

    worker_id: str
    data_centre: str
    rack: str
    accelerators: int
    cores: int
    memory_gb: int
    member: str


class Inventory(msgspec.Struct, frozen=True):
    """All workers, in the order of the asset register."""

    workers: tuple[WorkerRecord, ...]
