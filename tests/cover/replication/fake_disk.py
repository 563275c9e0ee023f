"""An in-memory data folder that loses unsynced writes in a crash."""

import random
from collections.abc import Callable


class DiskCrash(Exception):
    """The process crashed during this operation or has already ended."""


class _File:
    __slots__ = ("content", "synced")

    def __init__(self) -> None:
        self.content = b""
        self.synced = b""


class FakeDisk:
    """Data folder in memory, whose operations can crash the process.

    `crash_after` is the number of operations that succeed before the next one crashes; a negative
    number disables the crash. `durable` holds the directory entries that survive a crash, `pending`
    the later changes to them that were not synced.
    """

    __slots__ = ("crash_after", "durable", "files", "is_dead", "on_crash", "pending", "random")

    def __init__(self, random_source: random.Random) -> None:
        self.random = random_source
        self.crash_after = -1
        self.is_dead = False
        self.on_crash: Callable[[], None] = lambda: None
        self.files: dict[str, _File] = {}
        self.durable: dict[str, _File] = {}
        self.pending: list[tuple[str, _File | None]] = []

    def restart(self) -> None:
        """Restarts after a crash, which loses part of what was not synced.

        A random suffix of the pending changes to directory entries and a random part of the
        unsynced contents are lost.
        """
        durable_count = self.random.randint(0, len(self.pending))
        for name, file in self.pending[:durable_count]:
            self._link(self.durable, name, file)
        self.pending = []
        self.files = dict(self.durable)
        for file in self.files.values():
            file.content = file.synced = self._after_crash(file)
        self.is_dead = False
        self.crash_after = -1

    def names(self) -> list[str]:
        self._check_alive()
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        self._check_alive()
        return self.files[name].content

    def create(self, name: str, data: bytes) -> None:
        if name not in self.files:
            self._change_entry(name, _File())
        self._write(name, data)

    def append(self, name: str, data: bytes) -> None:
        self._write(name, self.files[name].content + data)

    def overwrite(self, name: str, data: bytes) -> None:
        self._write(name, data + self.files[name].content[len(data) :])

    def truncate(self, name: str, size: int) -> None:
        self._write(name, self.files[name].content[:size])

    def sync(self, name: str) -> None:
        self._count_operation()
        self.files[name].synced = self.files[name].content

    def rename(self, source: str, target: str) -> None:
        self._count_operation()
        file = self.files[source]
        # Both names change in one pending change, because a rename is atomic.
        self._link(self.files, source, None)
        self._link(self.files, target, file)
        self.pending.append((f"{source}>{target}", file))

    def delete(self, name: str) -> None:
        self._change_entry(name, None)

    def sync_folder(self) -> None:
        self._count_operation()
        for name, file in self.pending:
            self._link(self.durable, name, file)
        self.pending = []

    def close(self) -> None:
        pass

    def _change_entry(self, name: str, file: _File | None) -> None:
        self._count_operation()
        self._link(self.files, name, file)
        self.pending.append((name, file))

    def _link(self, folder: dict[str, _File], name: str, file: _File | None) -> None:
        source, _, target = name.rpartition(">")
        folder.pop(source or target, None)
        if file is not None:
            folder[target] = file

    def _write(self, name: str, content: bytes) -> None:
        crashes = self.crash_after == 0
        if not crashes or self.random.random() < 0.5:
            self.files[name].content = content
        self._count_operation()

    def _after_crash(self, file: _File) -> bytes:
        old, new = file.synced, file.content
        choice = self.random.choice(("old", "new", "torn", "zeros"))
        if choice == "old" or old == new:
            return old
        if choice == "new":
            return new
        if new[: len(old)] != old:
            cut = self.random.randint(0, min(len(old), len(new)))
            return new[:cut] + old[cut:]
        cut = self.random.randint(len(old), len(new))
        return new[:cut] + (b"\0" * (len(new) - cut) if choice == "zeros" else b"")

    def _check_alive(self) -> None:
        if self.is_dead:
            raise DiskCrash("the process has ended")

    def _count_operation(self) -> None:
        self._check_alive()
        if self.crash_after == 0:
            self.is_dead = True
            self.on_crash()
            raise DiskCrash("crash during this operation")
        self.crash_after -= 1
