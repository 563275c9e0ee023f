"""Segment files of the log on disk."""

import struct
from array import array
from collections.abc import Iterable

import crc32c

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.log_entry import EntryDecodeError, LogEntry, decode_entry
from cicadatray.replication.record import RecordError, scan_records

SEGMENT_PREFIX = "log-"
_HEADER = struct.Struct(">8sQ")
_MAGIC = b"CICALOG1"
HEADER_BYTES = _HEADER.size + 4


class Segment:
    """One file of the log, with consecutive entries from `first_index` on.

    `end_offsets` holds the offset of the byte after each entry's record.
    """

    __slots__ = ("end_offsets", "first_index", "folder", "name")

    def __init__(self, folder: DataFolder, first_index: int) -> None:
        self.folder = folder
        self.first_index = first_index
        self.name = segment_name(first_index)
        self.end_offsets = array("Q")

    @property
    def last_index(self) -> int:
        """The index of the last entry, or the one before `first_index` if there is no entry."""
        return self.first_index + len(self.end_offsets) - 1

    @property
    def size_bytes(self) -> int:
        """The size of the file in bytes."""
        return self.end_offset(self.last_index)

    def end_offset(self, index: int) -> int:
        """Returns the offset of the byte after the entry at `index`, or after the header."""
        position = index - self.first_index
        return self.end_offsets[position] if position >= 0 else HEADER_BYTES

    def create(self) -> None:
        """Creates the file with its header only, and syncs it."""
        body = _HEADER.pack(_MAGIC, self.first_index)
        self.folder.create(self.name, body + _header_checksum(body))
        self.folder.sync(self.name)
        self.folder.sync_folder()

    def append(self, records: Iterable[bytes]) -> None:
        """Appends records, one for each entry, and syncs them."""
        batch = list(records)
        self.folder.append(self.name, b"".join(batch))
        self.folder.sync(self.name)
        end = self.size_bytes
        for record in batch:
            end += len(record)
            self.end_offsets.append(end)

    def truncate_after(self, index: int) -> None:
        """Removes the entries after `index` and syncs the file."""
        self.folder.truncate(self.name, self.end_offset(index))
        self.folder.sync(self.name)
        del self.end_offsets[index - self.first_index + 1 :]

    def load(self) -> tuple[list[LogEntry], RecordError | None]:
        """Returns the entries before the first damaged record, and the error of that record.

        The error is None when no record is damaged.

        Raises:
            StorageDamagedError: an undamaged record is not the expected entry.
        """
        data = self.folder.read(self.name)
        if not self._has_valid_header(data):
            return [], RecordError(0, "segment header is damaged")
        entries: list[LogEntry] = []
        try:
            for payload, end in scan_records(data, HEADER_BYTES):
                entries.append(self._decode(payload))
                self.end_offsets.append(end)
        except RecordError as error:
            return entries, error
        return entries, None

    def _decode(self, payload: bytes) -> LogEntry:
        try:
            entry = decode_entry(payload)
        except EntryDecodeError as error:
            raise StorageDamagedError(f"file {self.name}: {error}") from error
        if entry.index != self.last_index + 1:
            raise StorageDamagedError(
                f"file {self.name}: found entry {entry.index}, expected {self.last_index + 1}"
            )
        return entry

    def _has_valid_header(self, data: bytes) -> bool:
        body = _HEADER.pack(_MAGIC, self.first_index)
        return data[:HEADER_BYTES] == body + _header_checksum(body)


def segment_name(first_index: int) -> str:
    """Returns the file name of a segment."""
    return f"{SEGMENT_PREFIX}{first_index:020d}"


def segment_indexes(folder: DataFolder) -> list[int]:
    """Returns the first index of each segment in a folder, in ascending order.

    Raises:
        StorageDamagedError: a file has the prefix of segments but no index in its name.
    """
    names = [name for name in folder.names() if name.startswith(SEGMENT_PREFIX)]
    try:
        return sorted(int(name[len(SEGMENT_PREFIX) :]) for name in names)
    except ValueError as error:
        raise StorageDamagedError(f"unexpected file name among {names}") from error


def _header_checksum(body: bytes) -> bytes:
    return int(crc32c.crc32c(body)).to_bytes(4, "big")
