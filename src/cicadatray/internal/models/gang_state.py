"""State and passage of time in the two specifications of gangs under leases."""

from enum import StrEnum
from typing import NamedTuple

LEASE_TICKS = 2
# An agent's clock may be slow: its lease lasts up to this much longer in real time.
DRIFT_TICKS = 1
DRIFT_MARGIN_TICKS = 1
LONGEST_LEASE_TICKS = LEASE_TICKS + DRIFT_TICKS
GRANT_TICKS = LEASE_TICKS + DRIFT_MARGIN_TICKS
ELECTION_TICKS = 1
# An announcement that takes longer to reach the leader is considered lost.
MAX_ANNOUNCEMENT_TICKS = 1
MAX_RESTARTS = 1


class GangDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    EARLY_REGRANT_WITHOUT_DRIFT_MARGIN = "early_regrant_without_drift_margin"
    LEASE_FROM_REPLY_RECEIPT = "lease_from_reply_receipt"
    MISSING_EPOCH_CHECK = "missing_epoch_check"
    STOP_DOES_NOT_RAISE_EPOCH = "stop_does_not_raise_epoch"
    REPLY_DOES_NOT_NAME_TASKS = "reply_does_not_name_tasks"
    DEPOSED_LEADER_RENEWS = "deposed_leader_renews"
    NEW_LEADER_ASSUMES_EXPIRED = "new_leader_assumes_expired"
    START_BEFORE_DECISION = "start_before_decision"
    WORKER_LEASE_EXCEEDS_AGENT_LEASE = "worker_lease_exceeds_agent_lease"
    RELATIVE_WORKER_LEASE = "relative_worker_lease"
    MISSING_TASK_CONFIRMS_STOP = "missing_task_confirms_stop"
    LOST_MEMBER_NOT_STOPPED = "lost_member_not_stopped"


class Exchange(NamedTuple):
    """The announcement of an agent in transit, or the leader's reply to it."""

    stage: str  # none, announced, replied
    age: int  # ticks since the agent sent the announcement
    epoch: int  # announced: epoch the agent holds; replied: epoch that may continue, 0 for none
    floor: int  # replied: lowest epoch that the leader still accepts on this member
    started: bool  # replied: whether `epoch` has been decided to start


NO_EXCHANGE = Exchange("none", 0, 0, 0, False)


class GangMember(NamedTuple):
    """An agent and the worker it controls; the worker survives a restart of the agent."""

    lease: int  # remaining ticks of real time of the agent's own lease
    floor: int  # lowest epoch the agent accepts
    held: int  # epoch that this incarnation of the agent has reserved or runs
    running: tuple[int, int]  # ticks until the worker stops the task of gang 1 and of gang 2
    in_flight: int  # defect: relative lease of a start in transit to the worker
    exchange: Exchange


class GangState(NamedTuple):
    """Gang 1 needs all members; gang 2 needs member 0 after gang 1 has released it.

    Gang 2 exists only when there is one member, which limits both state spaces.
    """

    term: int
    leader_acts: bool
    leaderless_ticks: int
    gang1: str  # placed, started, stopped
    gang2: str  # none, placed, started
    decided1: bool  # StartGang of gang 1 has been committed
    grants: tuple[int, ...]  # leader's ticks until gang 1's lease on a member has certainly expired
    member_lost: bool  # an announcement without gang 1 arrived after its start
    stop_confirmed: bool  # member 0 confirmed the stop of gang 1
    prepared1: tuple[bool, ...]  # by member: whether the leader has the prepared reply for gang 1
    prepared2: bool
    deposed_view: str  # defect: state of gang 1 known to the deposed leader
    members: tuple[GangMember, ...]
    restarts: int
    partial_ticks: int


def initial_state(members: int) -> GangState:
    """Returns the state just after gang 1 has been placed; every agent holds a lease."""
    member = GangMember(LONGEST_LEASE_TICKS, 1, 0, (0, 0), 0, NO_EXCHANGE)
    return GangState(
        term=1,
        leader_acts=True,
        leaderless_ticks=0,
        gang1="placed",
        gang2="none",
        decided1=False,
        grants=(GRANT_TICKS,) * members,
        member_lost=False,
        stop_confirmed=False,
        prepared1=(False,) * members,
        prepared2=False,
        deposed_view="",
        members=(member,) * members,
        restarts=0,
        partial_ticks=0,
    )


def with_member(state: GangState, index: int, member: GangMember) -> GangState:
    """Returns the state with one member replaced."""
    members = list(state.members)
    members[index] = member
    return state._replace(members=tuple(members))


def is_partial(state: GangState) -> bool:
    """Returns whether gang 1 runs on some of its members only."""
    return len({bool(member.running[0]) for member in state.members}) > 1


def advance_exchange(exchange: Exchange) -> Exchange:
    """Advances a message by one tick; drops it if it has become too late to have any effect."""
    if exchange.stage == "none":
        return exchange
    limit = MAX_ANNOUNCEMENT_TICKS if exchange.stage == "announced" else LEASE_TICKS
    if exchange.age == limit:
        return NO_EXCHANGE
    return exchange._replace(age=exchange.age + 1)


def advance_member(member: GangMember) -> GangMember:
    """Advances an agent and its worker by one tick; tasks stop when their leases expire."""
    lease = max(0, member.lease - 1)
    running = (max(0, member.running[0] - 1), max(0, member.running[1] - 1))
    expired_epoch = member.held if not lease else 0
    return member._replace(
        lease=lease,
        floor=max(member.floor, expired_epoch + 1) if expired_epoch else member.floor,
        held=0 if expired_epoch else member.held,
        running=running,
        exchange=advance_exchange(member.exchange),
    )


def must_stop(state: GangState) -> bool:
    """Returns whether the leader has detected that gang 1 lost a member."""
    return state.gang1 == "started" and (state.member_lost or 0 in state.grants)


def tick(state: GangState, defect: GangDefect | None) -> GangState | None:
    """Advances all members and the leader by one tick; returns None while an action is overdue."""
    overdue = must_stop(state) and defect is not GangDefect.LOST_MEMBER_NOT_STOPPED
    if state.leader_acts and overdue:
        return None
    if not state.leader_acts and state.leaderless_ticks == ELECTION_TICKS:
        return None
    return state._replace(
        leaderless_ticks=0 if state.leader_acts else state.leaderless_ticks + 1,
        grants=tuple(max(0, ticks - 1) for ticks in state.grants),
        members=tuple(advance_member(member) for member in state.members),
        partial_ticks=state.partial_ticks + 1 if is_partial(state) else 0,
    )
