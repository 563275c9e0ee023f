"""A data folder on a real disk whose syncs can be stalled."""

import threading

from cicadatray.replication.local_data_folder import LocalDataFolder


class SlowFolder(LocalDataFolder):
    """A local data folder whose syncs block while `is_responding` is cleared."""

    __slots__ = ("is_responding",)

    def __init__(self, path: str) -> None:
        super().__init__(path)
        self.is_responding = threading.Event()
        self.is_responding.set()

    def sync(self, name: str) -> None:
        self.is_responding.wait()
        super().sync(name)
