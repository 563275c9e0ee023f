"""The part of the log that is kept in memory, written through to the segments."""

from collections.abc import Sequence

from cicadatray.replication.log_entry import LogEntry
from cicadatray.replication.segment_log import SegmentLog


class EntryLog:
    """Entries behind `base_index`, which is at most the index of the latest snapshot."""

    __slots__ = ("base_index", "base_term", "bytes_held", "entries", "stored")

    def __init__(self, stored: SegmentLog) -> None:
        self.stored = stored
        self.base_index = 0
        self.base_term = 0
        self.bytes_held = 0
        self.entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def load(self, snapshot_index: int, snapshot_term: int) -> None:
        """Reads the entries from disk.

        Raises:
            StorageDamagedError: acknowledged entries are damaged or missing.
        """
        entries = self.stored.load(snapshot_index, snapshot_term)
        self.base_index, self.base_term = snapshot_index, snapshot_term
        if entries and entries[0].index <= snapshot_index:
            self.base_index, self.base_term = entries[0].index, entries[0].term
            del entries[0]
        self.entries = entries
        self.bytes_held = sum(len(entry.data) for entry in entries)

    def term_at(self, index: int) -> int:
        """Returns the term of an entry between `base_index` and `last_index`."""
        if index == self.base_index:
            return self.base_term
        return self.entries[index - self.base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Returns an entry behind `base_index`."""
        return self.entries[index - self.base_index - 1]

    def batch(self, first_index: int, last_index: int, limit_bytes: int) -> list[LogEntry]:
        """Returns entries from `first_index` to `last_index`, as many as a number of bytes allows.

        The first one is returned whatever its size.
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
        """Makes entries durable, then visible."""
        self.stored.append(entries)
        self.entries.extend(entries)
        self.bytes_held += sum(len(entry.data) for entry in entries)

    def truncate_after(self, index: int) -> None:
        """Removes the entries behind `index`."""
        self.stored.truncate_after(index)
        position = index - self.base_index
        self.bytes_held -= sum(len(entry.data) for entry in self.entries[position:])
        del self.entries[position:]

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot contains."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        position = index - self.base_index
        self.bytes_held -= sum(len(entry.data) for entry in self.entries[:position])
        del self.entries[:position]
        self.base_index, self.base_term = index, term
        self.stored.rotate()
        self.stored.delete_before(index)

    def reset(self, index: int, term: int) -> None:
        """Drops all entries in favour of a snapshot."""
        self.stored.reset(index)
        self.entries = []
        self.bytes_held = 0
        self.base_index, self.base_term = index, term
