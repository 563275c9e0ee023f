"""One file of the log on disk."""

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
    """`ends` holds, for each entry, the offset of the byte after its record."""

    __slots__ = ("ends", "first_index", "folder", "name")

    def __init__(self, folder: DataFolder, first_index: int) -> None:
        self.folder = folder
        self.first_index = first_index
        self.name = segment_name(first_index)
        self.ends = array("Q")

    @property
    def last_index(self) -> int:
        """Index of the last entry, or the one before `first_index` when there is none."""
        return self.first_index + len(self.ends) - 1

    @property
    def size(self) -> int:
        """Bytes of the file."""
        return self.end_of(self.last_index)

    def end_of(self, index: int) -> int:
        """Returns the offset of the byte after an entry."""
        position = index - self.first_index
        return self.ends[position] if position >= 0 else HEADER_BYTES

    def create(self) -> None:
        """Makes an empty file durable."""
        body = _HEADER.pack(_MAGIC, self.first_index)
        self.folder.create(self.name, body + _header_checksum(body))
        self.folder.sync(self.name)
        self.folder.sync_folder()

    def append(self, records: Iterable[bytes]) -> None:
        """Writes records, one for each entry, and syncs them."""
        batch = list(records)
        self.folder.append(self.name, b"".join(batch))
        self.folder.sync(self.name)
        end = self.size
        for record in batch:
            end += len(record)
            self.ends.append(end)

    def truncate_after(self, index: int) -> None:
        """Cuts the entries behind `index` durably."""
        self.folder.truncate(self.name, self.end_of(index))
        self.folder.sync(self.name)
        del self.ends[index - self.first_index + 1 :]

    def load(self) -> tuple[list[LogEntry], RecordError | None]:
        """Reads the entries up to the end or the first damaged record, whose error is returned.

        Raises:
            StorageDamagedError: an undamaged record is not the expected entry.
        """
        data = self.folder.read(self.name)
        if not self._has_whole_header(data):
            return [], RecordError(0, "segment header is damaged")
        entries: list[LogEntry] = []
        try:
            for payload, end in scan_records(data, HEADER_BYTES):
                entries.append(self._decode(payload))
                self.ends.append(end)
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
                f"file {self.name}: entry {entry.index} where {self.last_index + 1} was expected"
            )
        return entry

    def _has_whole_header(self, data: bytes) -> bool:
        body = _HEADER.pack(_MAGIC, self.first_index)
        return data[:HEADER_BYTES] == body + _header_checksum(body)


def segment_name(first_index: int) -> str:
    """Returns the file name of a segment."""
    return f"{SEGMENT_PREFIX}{first_index:020d}"


def segment_indexes(folder: DataFolder) -> list[int]:
    """Returns the first indexes of all segments in a folder, in order."""
    names = [name for name in folder.names() if name.startswith(SEGMENT_PREFIX)]
    try:
        return sorted(int(name[len(SEGMENT_PREFIX) :]) for name in names)
    except ValueError as error:
        raise StorageDamagedError(f"unexpected file name among {names}") from error


def _header_checksum(body: bytes) -> bytes:
    return int(crc32c.crc32c(body)).to_bytes(4, "big")
