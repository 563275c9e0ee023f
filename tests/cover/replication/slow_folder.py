"""A data folder on a real disk whose syncs can be held up."""

import threading

from cicadatray.replication.local_data_folder import LocalDataFolder


class SlowFolder(LocalDataFolder):
    """`is_answering` is cleared while the disk stalls."""

    __slots__ = ("is_answering",)

    def __init__(self, path: str) -> None:
        super().__init__(path)
        self.is_answering = threading.Event()
        self.is_answering.set()

    def sync(self, name: str) -> None:
        self.is_answering.wait()
        super().sync(name)
