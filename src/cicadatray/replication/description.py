"""Description of a replica in state dumps."""

import msgspec

from cicadatray.replication.role import Role


class MemberDescription(msgspec.Struct, frozen=True, kw_only=True):
    """Describes one member of the group as this replica sees it.

    Only the leader fills in `match_index`, `last_contact_age_s` and `fault`.
    """

    member_id: str
    host: str
    port: int
    identity: str
    is_voter: bool
    match_index: int | None = None
    last_contact_age_s: float | None = None
    fault: str = ""


class ReplicaDescription(msgspec.Struct, frozen=True, kw_only=True):
    """Describes the state of a replica.

    `log_bytes` is the size of the log's files and `held_bytes` that of the commands in memory.
    `leader_contact_age_s` is the time since the last message of a leader, or since the start of
    the process.
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
