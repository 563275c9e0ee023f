"""What a replica shows in state dumps."""

import msgspec

from cicadatray.replication.role import Role


class MemberDescription(msgspec.Struct, frozen=True, kw_only=True):
    """`match_index`, `last_contact_age_s` and `fault` are known to the leader only."""

    member_id: str
    host: str
    port: int
    identity: str
    is_voter: bool
    match_index: int | None = None
    last_contact_age_s: float | None = None
    fault: str = ""


class ReplicaDescription(msgspec.Struct, frozen=True, kw_only=True):
    """`log_bytes` counts the log's files, `held_bytes` the commands held in memory.

    `leader_contact_age_s` is the time since a leader's message, or since the start.
    """

    member_id: str
    identity: str
    group_id: str
    role: Role
    term: int
    leader_id: str | None
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    first_index_held: int
    log_bytes: int
    held_bytes: int
    leader_contact_age_s: float
    failure: str
    members: tuple[MemberDescription, ...]
