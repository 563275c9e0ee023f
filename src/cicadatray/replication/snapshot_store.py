"""The latest snapshot on disk."""

import crc32c

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.membership import Membership
from cicadatray.replication.snapshot import (
    Snapshot,
    SnapshotPosition,
    decode_position,
    encode_position,
)

SNAPSHOT_PREFIX = "snapshot-"
SNAPSHOT_TEMPORARY_NAME = "snapshot.tmp"


class SnapshotStore:
    """Keeps one snapshot; a new one is written beside it, synced and renamed."""

    __slots__ = ("folder", "latest")

    def __init__(self, folder: DataFolder) -> None:
        self.folder = folder
        self.latest: Snapshot | None = None

    @property
    def position(self) -> SnapshotPosition | None:
        """Where the latest snapshot stands in the log."""
        return self.latest.position if self.latest else None

    @property
    def last_index(self) -> int:
        """The last entry that the snapshot contains, 0 without a snapshot."""
        return self.position.last_index if self.position else 0

    @property
    def last_term(self) -> int:
        """Term of that entry."""
        return self.position.last_term if self.position else 0

    def load(self) -> Snapshot | None:
        """Returns the stored snapshot.

        Raises:
            StorageDamagedError: it is damaged.
        """
        names = self._names()
        if not names:
            return None
        for name in names[:-1]:
            self.folder.delete(name)
        snapshot = self._read(names[-1])
        self.latest = snapshot
        return snapshot

    def save(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        """Makes a new snapshot durable, then removes the one before."""
        position = SnapshotPosition(index, term, membership, len(data), snapshot_checksum(data))
        self.folder.create(SNAPSHOT_TEMPORARY_NAME, encode_position(position) + data)
        self.folder.sync(SNAPSHOT_TEMPORARY_NAME)
        name = f"{SNAPSHOT_PREFIX}{index:020d}"
        self.folder.rename(SNAPSHOT_TEMPORARY_NAME, name)
        self.folder.sync_folder()
        self.latest = Snapshot(position, data)
        for other in self._names():
            if other != name:
                self.folder.delete(other)

    def read(self) -> Snapshot:
        """Returns the latest snapshot for another member, from memory.

        The file may still be in the queue of writes.

        Raises:
            StorageDamagedError: there is none.
        """
        if self.latest is None:
            raise StorageDamagedError("the log begins behind entry 1, but there is no snapshot")
        return self.latest

    def _names(self) -> list[str]:
        return sorted(name for name in self.folder.names() if name.startswith(SNAPSHOT_PREFIX))

    def _read(self, name: str) -> Snapshot:
        content = self.folder.read(name)
        position, offset = decode_position(content)
        data = content[offset:]
        is_whole = len(data) == position.data_bytes
        if not is_whole or snapshot_checksum(data) != position.data_checksum:
            raise StorageDamagedError(f"file {name} is damaged")
        if name != f"{SNAPSHOT_PREFIX}{position.last_index:020d}":
            raise StorageDamagedError(f"file {name} holds entry {position.last_index}")
        return Snapshot(position, data)


def snapshot_checksum(data: bytes | bytearray) -> int:
    """Returns the CRC-32C of a snapshot's data."""
    return int(crc32c.crc32c(data))
