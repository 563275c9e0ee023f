"""The members of a group, each bound to the identity of its data folder."""

import msgspec

from cicadatray.replication.member import Member


def required_voters(tolerated_disk_losses: int) -> int:
    """Returns how many voters a group needs to go on after that many are lost at once.

    A majority must be left that can elect, and one of it must hold each acknowledged entry.
    """
    return 2 * tolerated_disk_losses + 1


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member, the identity of its data folder, and whether it counts for quorums."""

    member: Member
    identity: str
    voter: bool


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """All voters and learners of a group; consecutive memberships differ by at most one voter."""

    records: tuple[MemberRecord, ...] = ()

    def find(self, member_id: str) -> MemberRecord | None:
        """Returns the record of a member, or None."""
        for record in self.records:
            if record.member.member_id == member_id:
                return record
        return None

    def voters(self) -> list[MemberRecord]:
        """Returns the records that count for quorums."""
        return [record for record in self.records if record.voter]

    def is_voter(self, identity: str) -> bool:
        """Returns whether the data folder with this identity counts for quorums."""
        return any(record.voter and record.identity == identity for record in self.records)

    def quorum(self) -> int:
        """Returns how many voters form a majority."""
        return len(self.voters()) // 2 + 1

    def replaced(self, record: MemberRecord) -> "Membership":
        """Returns the membership with this record in place of any other of the same member."""
        return Membership(self.without(record.member.member_id).records + (record,))

    def without(self, member_id: str) -> "Membership":
        """Returns the membership without a member."""
        kept = tuple(record for record in self.records if record.member.member_id != member_id)
        return Membership(kept)
