"""Log on disk in segments; loading truncates only a torn tail that was never acknowledged."""

from collections.abc import Sequence
from itertools import pairwise

from cicadatray.replication.data_folder import DataFolder
from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.log_entry import LogEntry, encode_entry
from cicadatray.replication.segment import HEADER_BYTES, Segment, segment_indexes, segment_name
from cicadatray.replication.sync_marker import SyncedLength, SyncMarker


class SegmentLog:
    """Stores the log in consecutive segments, of which only the last one grows.

    Each append to a segment takes one write and one sync.
    """

    __slots__ = ("folder", "segment_bytes", "segments", "sync_marker")

    def __init__(self, folder: DataFolder, segment_bytes: int) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.segments: list[Segment] = []
        self.sync_marker = SyncMarker(folder)

    @property
    def size_bytes(self) -> int:
        """The size of all segments in bytes."""
        return sum(segment.size_bytes for segment in self.segments)

    def load(self, snapshot_index: int, snapshot_term: int) -> list[LogEntry]:
        """Loads the segments, truncates a torn tail and returns the stored entries.

        The result is empty, and the log is reset, when the snapshot supersedes the log.

        Raises:
            StorageDamagedError: acknowledged entries are damaged or missing.
        """
        self.sync_marker.load()
        self._delete_obsolete_files(snapshot_index)
        entries: list[LogEntry] = []
        for first_index in segment_indexes(self.folder):
            entries.extend(self._load_segment(first_index, snapshot_index))
        last_index = max(snapshot_index, entries[-1].index if entries else 0)
        if last_index < self.sync_marker.synced.last_index:
            raise StorageDamagedError(
                f"the log ends at entry {last_index}, but entry "
                f"{self.sync_marker.synced.last_index} was acknowledged"
            )
        if self._is_superseded(entries, snapshot_index, snapshot_term):
            self.reset(snapshot_index)
            return []
        return entries

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Appends and syncs entries that follow the last stored one."""
        if self.segments[-1].size_bytes >= self.segment_bytes:
            self.rotate()
        segment = self.segments[-1]
        segment.append([encode_entry(entry) for entry in entries])
        self.sync_marker.advance(
            SyncedLength(segment.first_index, segment.size_bytes, segment.last_index)
        )

    def rotate(self) -> None:
        """Starts a new segment, so that the earlier ones can be deleted as whole files."""
        last = self.segments[-1]
        if not last.end_offsets:
            return
        segment = Segment(self.folder, last.last_index + 1)
        segment.create()
        self.segments.append(segment)

    def truncate_after(self, index: int) -> None:
        """Removes the entries after `index`, which must be stored or precede a stored one."""
        while self.segments[-1].first_index > index + 1:
            self._lower_sync_marker(self.segments[-2], self.segments[-2].last_index)
            self._delete(self.segments.pop())
            self.folder.sync_folder()
        segment = self.segments[-1]
        self._lower_sync_marker(segment, index)
        segment.truncate_after(index)

    def delete_before(self, index: int) -> None:
        """Deletes the segments that hold only entries before `index`."""
        while len(self.segments) > 1 and self.segments[1].first_index <= index:
            self._delete(self.segments.pop(0))

    def reset(self, last_index: int) -> None:
        """Deletes all entries; the next one follows `last_index`."""
        self.sync_marker.lower(SyncedLength())
        # Newest segment first and one at a time, so that a crash leaves a log without gaps.
        for first_index in reversed(segment_indexes(self.folder)):
            self.folder.delete(segment_name(first_index))
            self.folder.sync_folder()
        segment = Segment(self.folder, last_index + 1)
        segment.create()
        self.segments = [segment]

    def _load_segment(self, first_index: int, snapshot_index: int) -> list[LogEntry]:
        expected = self.segments[-1].last_index + 1 if self.segments else snapshot_index + 1
        if first_index > expected or (self.segments and first_index != expected):
            raise StorageDamagedError(f"entries {expected} to {first_index - 1} are missing")
        segment = Segment(self.folder, first_index)
        entries, error = segment.load()
        if error is not None:
            is_last = first_index == segment_indexes(self.folder)[-1]
            if not is_last or self.sync_marker.synced.covers(first_index, error.offset):
                raise StorageDamagedError(f"file {segment.name}: acknowledged {error}") from error
            if error.offset < HEADER_BYTES:
                segment.create()
            segment.truncate_after(segment.last_index)
        self.segments.append(segment)
        return entries

    def _is_superseded(
        self, entries: list[LogEntry], snapshot_index: int, snapshot_term: int
    ) -> bool:
        """Returns whether the snapshot came from a leader and the log does not lead up to it."""
        if not self.segments or self.segments[-1].last_index < snapshot_index:
            return True
        position = snapshot_index - self.segments[0].first_index
        return position >= 0 and entries[position].term != snapshot_term

    def _delete_obsolete_files(self, snapshot_index: int) -> None:
        indexes = segment_indexes(self.folder)
        for first_index, next_first_index in pairwise(indexes):
            if next_first_index <= snapshot_index + 1:
                self.folder.delete(segment_name(first_index))

    def _lower_sync_marker(self, segment: Segment, index: int) -> None:
        self.sync_marker.lower(SyncedLength(segment.first_index, segment.end_offset(index), index))

    def _delete(self, segment: Segment) -> None:
        self.folder.delete(segment.name)
