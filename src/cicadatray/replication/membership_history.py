"""History of the memberships in the log."""

from cicadatray.replication.membership import Membership


class MembershipHistory:
    """Stores memberships by log index.

    A membership is in effect as soon as its entry is in the log, committed or not.
    """

    __slots__ = ("changes",)

    def __init__(self, index: int, membership: Membership) -> None:
        self.changes: list[tuple[int, Membership]] = [(index, membership)]

    @property
    def current(self) -> Membership:
        """The membership in effect."""
        return self.changes[-1][1]

    @property
    def last_index(self) -> int:
        """The index of the entry that contains the membership in effect."""
        return self.changes[-1][0]

    def at(self, index: int) -> Membership:
        """Returns the membership in effect at the entry at `index`."""
        latest = self.changes[0][1]
        for change_index, membership in self.changes:
            if change_index <= index:
                latest = membership
        return latest

    def append(self, index: int, membership: Membership) -> None:
        """Puts the membership of a new entry into effect."""
        self.changes.append((index, membership))

    def truncate_after(self, index: int) -> None:
        """Removes the memberships of entries after `index`, which were removed from the log."""
        self.changes = [change for change in self.changes if change[0] <= index]

    def compact(self, index: int) -> None:
        """Replaces the memberships up to `index` with the one in effect there."""
        later_changes = [change for change in self.changes if change[0] > index]
        self.changes = [(index, self.at(index))] + later_changes
