"""How many lost disks a group bears at present."""

from collections.abc import Sequence

import msgspec


class VoterContact(msgspec.Struct, frozen=True):
    """What the leader knows of a voter; `silence_s` is the age of its last answer."""

    member_id: str
    silence_s: float
    match_index: int


class Redundancy(msgspec.Struct, frozen=True):
    """`missing` are voters that do not answer, `behind` answer but lack committed entries."""

    tolerated_disk_losses: int
    voters: tuple[str, ...]
    quorum: int
    missing: tuple[str, ...]
    behind: tuple[str, ...]


# Several heartbeats: a voter that answers at all has done so by then.
CONTACT_S = 1.0


def assess_redundancy(voters: Sequence[VoterContact], quorum: int, commit_index: int) -> Redundancy:
    """Returns how many disks may be lost before an acknowledged entry or all elections are.

    A voter whose disk is lost has a new identity and no vote. The others elect a leader while they
    are as many as the quorum, and the entries survive while one of those that have them is left. A
    voter that lacks entries still votes, for one that has them.
    """
    answering = [voter for voter in voters if voter.silence_s < CONTACT_S]
    behind = [voter for voter in answering if voter.match_index < commit_index]
    current = len(answering) - len(behind)
    return Redundancy(
        tolerated_disk_losses=max(0, min(len(answering) - quorum, current - 1)),
        voters=tuple(voter.member_id for voter in voters),
        quorum=quorum,
        missing=tuple(voter.member_id for voter in voters if voter not in answering),
        behind=tuple(voter.member_id for voter in behind),
    )
