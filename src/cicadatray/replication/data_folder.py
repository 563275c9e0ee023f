"""File operations that the storage of a replica needs."""

from typing import Protocol


class DataFolder(Protocol):
    """Files of one flat folder, named without a path.

    Contents are durable only after `sync`; creations, renames and removals only after
    `sync_folder`. Every operation raises `StorageError` when the system refuses it.
    """

    def names(self) -> list[str]:
        """Returns the names of all files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def create(self, name: str, data: bytes) -> None:
        """Writes a new file, or replaces the content of an existing one."""

    def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file."""

    def overwrite(self, name: str, data: bytes) -> None:
        """Writes at the beginning of a file, in place."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to its first `size` bytes."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def rename(self, source: str, target: str) -> None:
        """Replaces `target` by `source` atomically."""

    def delete(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""

    def close(self) -> None:
        """Releases the folder; nothing else may be called afterwards."""
