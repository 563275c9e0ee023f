"""Membership of a group, in which each member is bound to the identity of its data folder."""

import msgspec

from cicadatray.replication.member import Member


def required_voters(tolerated_disk_losses: int) -> int:
    """Returns the number of voters with which a group tolerates simultaneous disk losses.

    The remaining voters must form a majority that can elect a leader, and one of them must hold
    each acknowledged entry.
    """
    return 2 * tolerated_disk_losses + 1


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member, the identity of its data folder, and whether it is a voter or a learner."""

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
        """Returns the records of all voters."""
        return [record for record in self.records if record.voter]

    def is_voter(self, identity: str) -> bool:
        """Returns whether the member whose data folder has this identity is a voter."""
        return any(record.voter and record.identity == identity for record in self.records)

    def quorum(self) -> int:
        """Returns the smallest number of voters that form a majority."""
        return len(self.voters()) // 2 + 1

    def with_record(self, record: MemberRecord) -> "Membership":
        """Returns a membership that contains this record instead of any other of its member."""
        return Membership(self.without_member(record.member.member_id).records + (record,))

    def without_member(self, member_id: str) -> "Membership":
        """Returns a membership without this member."""
        remaining = tuple(record for record in self.records if record.member.member_id != member_id)
        return Membership(remaining)
