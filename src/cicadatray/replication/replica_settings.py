"""Settings of one replica."""

import msgspec

from cicadatray.replication.member import Member

KIB = 1024


class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one replica; times are in seconds on the event loop's clock.

    `bootstrap` lets an empty data folder form a new group with exactly those of `initial_members`
    that hold a replica. All of `initial_members` must be reachable at the same time until the group
    is formed. Without it, a member with an empty data folder waits until a leader adds it as a
    learner.

    Requests that make the receiver write use `store_timeout_s`: syncs of up to 0.5 s were seen on a
    busy disk, and a request whose reply comes too late must be repeated.

    `data_centre` is where the member runs; the leader spreads voters over data centres.

    After a snapshot the last `retained_entries` stay in the log, as far as their commands take at
    most `retained_bytes`, so that a member that lags a little needs no snapshot.

    `group_size` is the number of voters that the leader maintains by admitting members that ask to
    join and by replacing unresponsive ones; with 0, only an operator changes the membership.

    If `writes_in_thread` is False, files are written on the event loop, for programs that run on a
    simulated clock.

    A leader without contact to a majority steps down after `election_timeout_min_s`. Its ratio to
    `heartbeat_s` and `call_timeout_s` tolerates one lost message.
    """

    member_id: str
    data_folder: str
    initial_members: tuple[Member, ...] = ()
    bootstrap: bool = False
    election_timeout_min_s: float = 1.0
    election_timeout_max_s: float = 2.0
    heartbeat_s: float = 0.25
    call_timeout_s: float = 0.4
    store_timeout_s: float = 0.8
    membership_timeout_s: float = 10.0
    snapshot_entries: int = 4096
    snapshot_bytes: int = 4096 * KIB
    retained_entries: int = 64
    retained_bytes: int = 4096 * KIB
    segment_bytes: int = 1024 * KIB
    append_batch_bytes: int = 256 * KIB
    snapshot_chunk_bytes: int = 256 * KIB
    pending_limit_bytes: int = 8192 * KIB
    data_centre: str = ""
    group_size: int = 0
    writes_in_thread: bool = True
