"""Marker for the synced length of the log, which distinguishes a torn tail from damage."""

import struct

import crc32c
import msgspec

from cicadatray.replication.data_folder import DataFolder

MARKER_NAME = "synced"
_LAYOUT = struct.Struct(">QQQ")


class SyncedLength(msgspec.Struct, frozen=True):
    """The synced part of the log.

    All entries up to `last_index` were synced; the last one ends at `offset` of its segment.
    """

    segment_first_index: int = 0
    offset: int = 0
    last_index: int = 0

    def covers(self, segment_first_index: int, offset: int) -> bool:
        """Returns whether the byte at `offset` of a segment was synced."""
        return (segment_first_index, offset) < (self.segment_first_index, self.offset)


class SyncMarker:
    """Stores the synced length in a file that is overwritten in place after each sync of the log.

    Raising the marker is not synced: if the update is lost in a crash, the marker is only too low,
    and complete entries after it are still loaded. Lowering it is synced before the log is
    truncated.
    """

    __slots__ = ("folder", "synced")

    def __init__(self, folder: DataFolder) -> None:
        self.folder = folder
        self.synced = SyncedLength()

    def load(self) -> None:
        """Loads the marker; a torn one is ignored."""
        data = self.folder.read(MARKER_NAME)
        body = data[: _LAYOUT.size]
        if len(body) < _LAYOUT.size or data[_LAYOUT.size :] != _checksum(body):
            return
        self.synced = SyncedLength(*_LAYOUT.unpack(body))

    def create(self) -> None:
        """Creates the file with an empty marker and syncs it."""
        self.folder.create(MARKER_NAME, _encode(self.synced))
        self.folder.sync(MARKER_NAME)
        self.folder.sync_folder()

    def advance(self, synced: SyncedLength) -> None:
        """Raises the marker after a sync of the log, without a sync of its own."""
        self.synced = synced
        self.folder.overwrite(MARKER_NAME, _encode(synced))

    def lower(self, synced: SyncedLength) -> None:
        """Lowers and syncs the marker before the log is truncated."""
        self.advance(synced)
        self.folder.sync(MARKER_NAME)


def _encode(synced: SyncedLength) -> bytes:
    body = _LAYOUT.pack(synced.segment_first_index, synced.offset, synced.last_index)
    return body + _checksum(body)


def _checksum(body: bytes) -> bytes:
    return int(crc32c.crc32c(body)).to_bytes(4, "big")
