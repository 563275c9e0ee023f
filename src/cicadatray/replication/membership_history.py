"""Memberships by log index."""

from cicadatray.replication.membership import Membership


class MembershipHistory:
    """A membership is in effect as soon as its entry is in the log, committed or not."""

    __slots__ = ("changes",)

    def __init__(self, index: int, membership: Membership) -> None:
        self.changes: list[tuple[int, Membership]] = [(index, membership)]

    @property
    def current(self) -> Membership:
        """The membership in effect."""
        return self.changes[-1][1]

    @property
    def last_index(self) -> int:
        """Index of the entry that holds it."""
        return self.changes[-1][0]

    def at(self, index: int) -> Membership:
        """Returns the membership after the entry at `index`."""
        found = self.changes[0][1]
        for change_index, membership in self.changes:
            if change_index <= index:
                found = membership
        return found

    def append(self, index: int, membership: Membership) -> None:
        """Adds the membership of a new entry."""
        self.changes.append((index, membership))

    def truncate_after(self, index: int) -> None:
        """Forgets the memberships of entries that were removed from the log."""
        self.changes = [change for change in self.changes if change[0] <= index]

    def compact(self, index: int) -> None:
        """Keeps one membership for all entries up to `index`."""
        later = [change for change in self.changes if change[0] > index]
        self.changes = [(index, self.at(index))] + later
