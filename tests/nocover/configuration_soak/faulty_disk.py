"""A data folder on a disk that can be slow, full or stalled, and that records what is durable."""

import errno
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from nocover.configuration_soak.durable_copy import DurableCopy
from nocover.configuration_soak.machine_faults import DISK_FULL, DISK_STALLED, WatchedFaults

POLL_S = 0.02
# The sync of a small disk of the deployments.
SYNC_S = 0.006


class FaultyDisk:
    """Replaces the functions of `os` through which the product writes to its data folder."""

    __slots__ = ("copy", "data_folder", "faults", "open_removed")

    def __init__(self, data_folder: Path, copy: DurableCopy, faults: WatchedFaults) -> None:
        self.data_folder = os.fspath(data_folder)
        self.copy = copy
        self.faults = faults
        # Keeps the numbers of removed files from being used again before the removal is durable.
        self.open_removed: list[int] = []

    def install(self) -> None:
        """Replaces the functions."""
        for name, wrapper in (
            ("pwrite", self._pwrite),
            ("ftruncate", self._ftruncate),
            ("fdatasync", self._sync),
            ("fsync", self._sync),
            ("replace", self._change_name),
            ("unlink", self._change_name),
        ):
            original = getattr(os, name)
            setattr(os, name, self._bind(wrapper, original))

    def _bind(self, wrapper: Callable[..., Any], original: Callable[..., Any]) -> Any:
        return lambda *arguments, **options: wrapper(original, *arguments, **options)

    def _is_data(self, descriptor: int) -> bool:
        path = os.readlink(f"/proc/self/fd/{descriptor}").removesuffix(" (deleted)")
        return path == self.data_folder or path.startswith(f"{self.data_folder}/")

    def _wait_for_disk(self) -> None:
        while self.faults.current.disk == DISK_STALLED:
            time.sleep(POLL_S)
        if self.faults.current.disk == DISK_FULL:
            raise OSError(errno.ENOSPC, "the disk is full")

    def _pwrite(self, original: Any, descriptor: int, data: Any, offset: int) -> int:
        if not self._is_data(descriptor):
            return int(original(descriptor, data, offset))
        self._wait_for_disk()
        written = int(original(descriptor, data, offset))
        self.copy.record_write(descriptor, offset, bytes(data[:written]))
        return written

    def _ftruncate(self, original: Any, descriptor: int, size: int) -> None:
        original(descriptor, size)
        if self._is_data(descriptor):
            self.copy.record_truncation(descriptor, size)

    def _sync(self, original: Any, descriptor: int) -> None:
        if not self._is_data(descriptor):
            original(descriptor)
            return
        while self.faults.current.disk == DISK_STALLED:
            time.sleep(POLL_S)
        time.sleep(SYNC_S + self.faults.current.sync_s)
        if os.readlink(f"/proc/self/fd/{descriptor}") == self.data_folder:
            self.copy.sync_names()
            for removed in self.open_removed:
                os.close(removed)
            self.open_removed.clear()
        else:
            self.copy.sync_file(descriptor)

    def _change_name(self, original: Any, *paths: Any, **options: Any) -> None:
        target = os.fspath(paths[-1])
        if target.startswith(f"{self.data_folder}/"):
            self._wait_for_disk()
            if os.path.exists(target):
                self.open_removed.append(os.open(target, os.O_RDONLY))
        original(*paths, **options)
