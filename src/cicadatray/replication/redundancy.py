"""Fault tolerance of a group: how many disk losses it tolerates at present."""

from collections.abc import Sequence

import msgspec


class VoterContact(msgspec.Struct, frozen=True):
    """The leader's view of a voter.

    `contact_age_s` is the time since the last answered message to it was sent.
    """

    member_id: str
    contact_age_s: float
    match_index: int


class Redundancy(msgspec.Struct, frozen=True):
    """Tolerated disk losses and the voters that reduce them.

    Voters in `missing` do not answer; voters in `behind` answer but lack committed entries.
    """

    tolerated_disk_losses: int
    voters: tuple[str, ...]
    quorum: int
    missing: tuple[str, ...]
    behind: tuple[str, ...]


# Several heartbeat intervals, within which any reachable voter has answered.
CONTACT_TIMEOUT_S = 1.0


def assess_redundancy(voters: Sequence[VoterContact], quorum: int, commit_index: int) -> Redundancy:
    """Returns how many disks the group can lose without losing entries or its ability to elect.

    A voter whose disk is lost has a new identity and no vote. The others can elect a leader while
    they form a quorum, and acknowledged entries survive while one voter that holds them remains. A
    voter that lacks entries still votes for a candidate that holds them.
    """
    responsive = [voter for voter in voters if voter.contact_age_s < CONTACT_TIMEOUT_S]
    behind = [voter for voter in responsive if voter.match_index < commit_index]
    up_to_date_count = len(responsive) - len(behind)
    return Redundancy(
        tolerated_disk_losses=max(0, min(len(responsive) - quorum, up_to_date_count - 1)),
        voters=tuple(voter.member_id for voter in voters),
        quorum=quorum,
        missing=tuple(voter.member_id for voter in voters if voter not in responsive),
        behind=tuple(voter.member_id for voter in behind),
    )
