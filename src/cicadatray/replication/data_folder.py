"""Interface to the file operations that the storage of a replica needs."""

from typing import Protocol


class DataFolder(Protocol):
    """Operates on the files of one flat folder, which are named without a path.

    File contents are durable only after `sync`; creations, renames and removals only after
    `sync_folder`. Every operation raises `StorageError` when it fails.
    """

    def names(self) -> list[str]:
        """Returns the names of all files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def create(self, name: str, data: bytes) -> None:
        """Creates a file with this content, or replaces the content of an existing one."""

    def append(self, name: str, data: bytes) -> None:
        """Writes data at the end of a file."""

    def overwrite(self, name: str, data: bytes) -> None:
        """Writes data at the beginning of a file, in place, without truncating it."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to its first `size` bytes."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def rename(self, source: str, target: str) -> None:
        """Renames `source` to `target` atomically, replacing an existing `target`."""

    def delete(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""

    def close(self) -> None:
        """Closes the folder; no other operation may be called afterwards."""
