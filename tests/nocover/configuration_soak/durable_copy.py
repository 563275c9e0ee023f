"""A copy of a data folder that holds what a loss of power would leave for certain."""

import os
from pathlib import Path

import msgspec

NAMES_FILE = "names.json"


class DurableCopy:
    """Follows the writes and syncs of one process.

    The copy has a file for each file of the data folder, named by its number, and the durable
    names. `pending` holds the changes of each file since its last sync: an offset and bytes, or a
    size and None for a truncation. Files that this process has not synced yet are copied whole,
    because an earlier process may have left writes without a sync.
    """

    __slots__ = ("data_folder", "folder", "followed", "pending")

    def __init__(self, data_folder: Path, folder: Path) -> None:
        self.data_folder = data_folder
        self.folder = folder
        self.followed: set[int] = set()
        self.pending: dict[int, list[tuple[int, bytes | None]]] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def record_write(self, descriptor: int, offset: int, data: bytes) -> None:
        """Records bytes that were written and are not durable yet."""
        self.pending.setdefault(os.fstat(descriptor).st_ino, []).append((offset, data))

    def record_truncation(self, descriptor: int, size: int) -> None:
        """Records a truncation that is not durable yet."""
        self.pending.setdefault(os.fstat(descriptor).st_ino, []).append((size, None))

    def sync_file(self, descriptor: int) -> None:
        """Makes the content of a file durable, and a new file's name with it."""
        number = os.fstat(descriptor).st_ino
        changes = self.pending.pop(number, [])
        target = os.open(self.folder / str(number), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if number in self.followed:
                for position, data in changes:
                    if data is None:
                        os.truncate(target, position)
                    else:
                        os.lseek(target, position, os.SEEK_SET)
                        os.write(target, data)
            else:
                content = os.pread(descriptor, os.fstat(descriptor).st_size, 0)
                os.truncate(target, 0)
                os.write(target, content)
                self.followed.add(number)
        finally:
            os.close(target)
        names = read_durable_names(self.folder)
        new = {n: i for n, i in read_names(self.data_folder).items() if i == number}
        if any(name not in names for name in new):
            self._store_names({**new, **names})

    def sync_names(self) -> None:
        """Makes all names of the data folder durable."""
        self._store_names(read_names(self.data_folder))

    def _store_names(self, names: dict[str, int]) -> None:
        temporary = self.folder / "names.tmp"
        temporary.write_bytes(msgspec.json.encode(names))
        temporary.rename(self.folder / NAMES_FILE)


def read_names(data_folder: Path) -> dict[str, int]:
    """Returns the number of each file of a data folder by its name."""
    return {entry.name: entry.inode() for entry in os.scandir(data_folder)}


def read_durable_names(folder: Path) -> dict[str, int]:
    """Returns the number of each file whose name is durable."""
    path = folder / NAMES_FILE
    if not path.exists():
        return {}
    return msgspec.json.decode(path.read_bytes(), type=dict[str, int])
