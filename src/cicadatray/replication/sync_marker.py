"""Records how much of the log was synced, so that a torn tail is told from damage."""

import struct

import crc32c
import msgspec

from cicadatray.replication.data_folder import DataFolder

MARKER_NAME = "synced"
_LAYOUT = struct.Struct(">QQQ")


class SyncedLength(msgspec.Struct, frozen=True):
    """All entries up to `last_index` were synced; the last ends at `offset` of its segment."""

    segment_first_index: int = 0
    offset: int = 0
    last_index: int = 0

    def covers(self, segment_first_index: int, offset: int) -> bool:
        """Returns whether the byte at `offset` of a segment was synced."""
        return (segment_first_index, offset) < (self.segment_first_index, self.offset)


class SyncMarker:
    """A file overwritten in place after each sync of the log.

    Raising the mark is not synced: a mark lost with the machine is only lower, and the entries
    behind it are kept as long as they are whole. Lowering it is synced before the log is cut.
    """

    __slots__ = ("folder", "synced")

    def __init__(self, folder: DataFolder) -> None:
        self.folder = folder
        self.synced = SyncedLength()

    def load(self) -> None:
        """Reads the mark; a torn one counts as none."""
        data = self.folder.read(MARKER_NAME)
        body = data[: _LAYOUT.size]
        if len(body) < _LAYOUT.size or data[_LAYOUT.size :] != _checksum(body):
            return
        self.synced = SyncedLength(*_LAYOUT.unpack(body))

    def create(self) -> None:
        """Makes an empty mark durable."""
        self.folder.create(MARKER_NAME, _encode(self.synced))
        self.folder.sync(MARKER_NAME)
        self.folder.sync_folder()

    def advance(self, synced: SyncedLength) -> None:
        """Raises the mark after a sync of the log."""
        self.synced = synced
        self.folder.overwrite(MARKER_NAME, _encode(synced))

    def lower(self, synced: SyncedLength) -> None:
        """Lowers the mark durably before the log is cut."""
        self.advance(synced)
        self.folder.sync(MARKER_NAME)


def _encode(synced: SyncedLength) -> bytes:
    body = _LAYOUT.pack(synced.segment_first_index, synced.offset, synced.last_index)
    return body + _checksum(body)


def _checksum(body: bytes) -> bytes:
    return int(crc32c.crc32c(body)).to_bytes(4, "big")
