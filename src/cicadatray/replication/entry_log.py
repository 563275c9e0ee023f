"""In-memory part of the log, written through to the segments on disk."""

from collections.abc import Sequence

from cicadatray.replication.log_entry import LogEntry
from cicadatray.replication.segment_log import SegmentLog


class EntryLog:
    """Holds the entries after `base_index`, which is at most the index of the latest snapshot.

    `bytes_in_memory` is the size of their commands.
    """

    __slots__ = ("base_index", "base_term", "bytes_in_memory", "entries", "segment_log")

    def __init__(self, segment_log: SegmentLog) -> None:
        self.segment_log = segment_log
        self.base_index = 0
        self.base_term = 0
        self.bytes_in_memory = 0
        self.entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def load(self, snapshot_index: int, snapshot_term: int) -> None:
        """Loads the entries from disk.

        Raises:
            StorageDamagedError: acknowledged entries are damaged or missing.
        """
        entries = self.segment_log.load(snapshot_index, snapshot_term)
        self.base_index, self.base_term = snapshot_index, snapshot_term
        if entries and entries[0].index <= snapshot_index:
            self.base_index, self.base_term = entries[0].index, entries[0].term
            del entries[0]
        self.entries = entries
        self.bytes_in_memory = sum(len(entry.data) for entry in entries)

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at `index`, from `base_index` to `last_index`."""
        if index == self.base_index:
            return self.base_term
        return self.entries[index - self.base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Returns the entry at `index`, which must be after `base_index`."""
        return self.entries[index - self.base_index - 1]

    def batch(self, first_index: int, last_index: int, limit_bytes: int) -> list[LogEntry]:
        """Returns entries from `first_index` up to `last_index`, at most `limit_bytes` in total.

        The first entry is included even when it alone exceeds the limit.
        """
        batch: list[LogEntry] = []
        size = 0
        end = min(last_index - self.base_index, len(self.entries))
        for position in range(first_index - self.base_index - 1, end):
            entry = self.entries[position]
            size += len(entry.data)
            if batch and size > limit_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Writes entries to the segments, then adds them in memory."""
        self.segment_log.append(entries)
        self.entries.extend(entries)
        self.bytes_in_memory += sum(len(entry.data) for entry in entries)

    def truncate_after(self, index: int) -> None:
        """Removes the entries after `index`."""
        self.segment_log.truncate_after(index)
        position = index - self.base_index
        self.bytes_in_memory -= sum(len(entry.data) for entry in self.entries[position:])
        del self.entries[position:]

    def count_retainable(self, index: int, entry_limit: int, byte_limit: int) -> int:
        """Returns how many entries up to `index` are within both limits, counted backwards."""
        size = 0
        for count in range(min(entry_limit, index - self.base_index)):
            size += len(self.entry(index - count).data)
            if size > byte_limit:
                return count
        return entry_limit

    def compact(self, index: int) -> None:
        """Discards the entries up to `index`, which the snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        position = index - self.base_index
        self.bytes_in_memory -= sum(len(entry.data) for entry in self.entries[:position])
        del self.entries[:position]
        self.base_index, self.base_term = index, term
        self.segment_log.rotate()
        self.segment_log.delete_before(index)

    def reset(self, index: int, term: int) -> None:
        """Discards all entries, which a snapshot up to `index` replaces."""
        self.segment_log.reset(index)
        self.entries = []
        self.bytes_in_memory = 0
        self.base_index, self.base_term = index, term
