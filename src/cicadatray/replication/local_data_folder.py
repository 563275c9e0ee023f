"""Data folder of a replica on a local disk."""

import errno
import fcntl
import os
import time
from collections.abc import Callable
from typing import TypeVar

from cicadatray.replication.errors import StorageError

LOCK_NAME = "lock"
# Interval between retries while the disk is full; the wait blocks the calling thread, which is the
# writer thread.
FULL_DISK_RETRY_S = 0.2
Result = TypeVar("Result")


class LocalDataFolder:
    """Operates on files under one path, with a lock file that excludes other processes."""

    __slots__ = ("descriptors", "folder_descriptor", "lock_descriptor", "path")

    def __init__(self, path: str) -> None:
        """Creates the folder when it does not exist.

        Raises:
            StorageError: the folder cannot be created, or another process uses it.
        """
        self.path = path
        self.descriptors: dict[str, int] = {}
        self._run_operation(lambda: os.makedirs(path, exist_ok=True))
        self.folder_descriptor = self._run_operation(lambda: os.open(path, os.O_RDONLY))
        self.lock_descriptor = self._run_operation(
            lambda: os.open(os.path.join(path, LOCK_NAME), os.O_RDWR | os.O_CREAT, 0o600)
        )
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close()
            raise StorageError(f"data folder {path} is in use by another process") from error

    def names(self) -> list[str]:
        names = self._run_operation(lambda: os.listdir(self.path))
        return sorted(name for name in names if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        def read_file() -> bytes:
            with open(self._path(name), "rb") as file:
                return file.read()

        return self._run_operation(read_file)

    def create(self, name: str, data: bytes) -> None:
        descriptor = self._descriptor(name)
        self._run_operation(lambda: os.ftruncate(descriptor, 0))
        self._write(descriptor, data, 0)

    def append(self, name: str, data: bytes) -> None:
        descriptor = self._descriptor(name)
        self._write(descriptor, data, self._run_operation(lambda: os.fstat(descriptor).st_size))

    def overwrite(self, name: str, data: bytes) -> None:
        self._write(self._descriptor(name), data, 0)

    def truncate(self, name: str, size: int) -> None:
        descriptor = self._descriptor(name)
        self._run_operation(lambda: os.ftruncate(descriptor, size))

    def sync(self, name: str) -> None:
        descriptor = self._descriptor(name)
        self._run_operation(lambda: os.fdatasync(descriptor))

    def rename(self, source: str, target: str) -> None:
        self._close_descriptor(source)
        self._close_descriptor(target)
        self._run_operation(lambda: os.replace(self._path(source), self._path(target)))

    def delete(self, name: str) -> None:
        self._close_descriptor(name)
        self._run_operation(lambda: os.unlink(self._path(name)))

    def sync_folder(self) -> None:
        self._run_operation(lambda: os.fsync(self.folder_descriptor))

    def close(self) -> None:
        for name in list(self.descriptors):
            self._close_descriptor(name)
        for descriptor in (self.folder_descriptor, self.lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self.folder_descriptor = self.lock_descriptor = -1

    def _path(self, name: str) -> str:
        return os.path.join(self.path, name)

    def _descriptor(self, name: str) -> int:
        descriptor = self.descriptors.get(name)
        if descriptor is None:
            path = self._path(name)
            descriptor = self._run_operation(lambda: os.open(path, os.O_RDWR | os.O_CREAT, 0o600))
            self.descriptors[name] = descriptor
        return descriptor

    def _close_descriptor(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _write(self, descriptor: int, data: bytes, offset: int) -> None:
        view = memoryview(data)
        while view:
            written = self._run_operation(lambda: os.pwrite(descriptor, view, offset))  # noqa: B023
            view = view[written:]
            offset += written

    def _run_operation(self, operation: Callable[[], Result]) -> Result:
        """Runs an operation and retries it while the disk is full, which loses no written data.

        Raises:
            StorageError: the operation failed for another reason.
        """
        while True:
            try:
                return operation()
            except OSError as error:
                if error.errno != errno.ENOSPC:
                    raise StorageError(f"data folder {self.path}: {error}") from error
            time.sleep(FULL_DISK_RETRY_S)
