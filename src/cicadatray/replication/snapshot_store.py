"""Storage of the latest snapshot on disk."""

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
    """Stores one snapshot; a new one is written to a temporary file, synced and renamed."""

    __slots__ = ("folder", "latest")

    def __init__(self, folder: DataFolder) -> None:
        self.folder = folder
        self.latest: Snapshot | None = None

    @property
    def position(self) -> SnapshotPosition | None:
        """The position of the latest snapshot in the log, or None without a snapshot."""
        return self.latest.position if self.latest else None

    @property
    def last_index(self) -> int:
        """The index of the last entry that the snapshot covers, 0 without a snapshot."""
        return self.position.last_index if self.position else 0

    @property
    def last_term(self) -> int:
        """The term of the last entry that the snapshot covers, 0 without a snapshot."""
        return self.position.last_term if self.position else 0

    def load(self) -> Snapshot | None:
        """Loads the latest snapshot and deletes older ones; returns None if there is none.

        Raises:
            StorageDamagedError: the snapshot is damaged.
        """
        names = self._snapshot_names()
        if not names:
            return None
        for name in names[:-1]:
            self.folder.delete(name)
        snapshot = self._read_file(names[-1])
        self.latest = snapshot
        return snapshot

    def save(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        """Writes a new snapshot durably, then deletes the previous one."""
        position = SnapshotPosition(index, term, membership, len(data), snapshot_checksum(data))
        self.folder.create(SNAPSHOT_TEMPORARY_NAME, encode_position(position) + data)
        self.folder.sync(SNAPSHOT_TEMPORARY_NAME)
        name = f"{SNAPSHOT_PREFIX}{index:020d}"
        self.folder.rename(SNAPSHOT_TEMPORARY_NAME, name)
        self.folder.sync_folder()
        self.latest = Snapshot(position, data)
        for other in self._snapshot_names():
            if other != name:
                self.folder.delete(other)

    def read(self) -> Snapshot:
        """Returns the latest snapshot, to be sent to another member.

        It is read from memory, because its file may still be in the queue of writes.

        Raises:
            StorageDamagedError: there is no snapshot.
        """
        if self.latest is None:
            raise StorageDamagedError("the log starts after entry 1, but there is no snapshot")
        return self.latest

    def _snapshot_names(self) -> list[str]:
        return sorted(name for name in self.folder.names() if name.startswith(SNAPSHOT_PREFIX))

    def _read_file(self, name: str) -> Snapshot:
        content = self.folder.read(name)
        position, offset = decode_position(content)
        data = content[offset:]
        is_complete = len(data) == position.data_bytes
        if not is_complete or snapshot_checksum(data) != position.data_checksum:
            raise StorageDamagedError(f"file {name} is damaged")
        if name != f"{SNAPSHOT_PREFIX}{position.last_index:020d}":
            raise StorageDamagedError(
                f"file {name} is a snapshot up to entry {position.last_index}"
            )
        return Snapshot(position, data)


def snapshot_checksum(data: bytes | bytearray) -> int:
    """Returns the CRC-32C of a snapshot's data."""
    return int(crc32c.crc32c(data))
