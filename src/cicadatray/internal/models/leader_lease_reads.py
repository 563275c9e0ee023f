"""Reads under the leader's lease and after a read barrier (design 3.2).

The log is abstracted to the number of its last entry: the leader of term t writes entry t. Each
replica has its current term, the entry it holds, and the time until which it promised not to vote,
counted in real ticks for the worst case (a fast clock). Leaders measure their lease from the
sending of a heartbeat round that a majority answered. Votes of one election are collected in one
step. A replica that restarts loses its promise and its lease, but not its term and entry.
"""

from enum import StrEnum
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

REPLICAS = 3
MAX_TERM = 3
MAX_RESTARTS = 1
# Shortest real duration of a follower's promise, and longest real duration of a leader's lease.
PROMISE_TICKS = 3
LEASE_TICKS = 3
DRIFT_TICKS = 1


class LeaseDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    READ_WITHOUT_CONFIRMATION = "read_without_confirmation"
    LEASE_WITHOUT_DRIFT_MARGIN = "lease_without_drift_margin"
    LEASE_FROM_LAST_ANSWER = "lease_from_last_answer"
    RESTART_FORGETS_PROMISE = "restart_forgets_promise"
    HANDOVER_FROM_DEPOSED_LEADER = "handover_from_deposed_leader"
    HANDOVER_KEEPS_LEASE = "handover_keeps_lease"
    READ_BEFORE_OWN_COMMIT = "read_before_own_commit"
    BARRIER_COUNTS_EARLIER_ANSWERS = "barrier_counts_earlier_answers"


class LeaseReplica(NamedTuple):
    """One replica; the fields from `lease` on are used only while it leads."""

    term: int
    promise: int  # ticks until it may vote
    entry: int
    applied: int
    leads: bool
    lease: int
    round_age: int  # ticks since the current heartbeat round was sent, -1 for none
    answer_sent: bool  # by one other replica, which completes a majority of three
    answered: bool  # the leader has received that answer
    barrier: int  # entry acknowledged when the pending read arrived, -1 for none


class LeaseState(NamedTuple):
    """The replicas, the newest acknowledged entry, and whether a read has missed it."""

    replicas: tuple[LeaseReplica, ...]
    acknowledged: int
    restarts: int
    stale_read: bool


FOLLOWER = LeaseReplica(0, 0, 0, 0, False, 0, -1, False, False, -1)


def with_replica(state: LeaseState, index: int, replica: LeaseReplica) -> LeaseState:
    """Returns the state with one replica replaced."""
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def as_follower(replica: LeaseReplica, term: int, promise: int) -> LeaseReplica:
    """Returns the replica as a follower, without the state of a leader."""
    return FOLLOWER._replace(
        term=term, promise=promise, entry=replica.entry, applied=replica.applied
    )


def may_serve(replica: LeaseReplica, defect: LeaseDefect | None) -> bool:
    """Returns whether a leader may serve reads without another heartbeat round."""
    has_own_commit = replica.applied == replica.term or defect is LeaseDefect.READ_BEFORE_OWN_COMMIT
    is_confirmed = replica.lease > 0 or defect is LeaseDefect.READ_WITHOUT_CONFIRMATION
    return replica.leads and has_own_commit and is_confirmed


def elect_steps(
    state: LeaseState, index: int, is_transfer: bool, defect: LeaseDefect | None
) -> Successors:
    """Returns the steps in which a candidate collects a majority of votes and leads a new term.

    In a leadership transfer, voters ignore their promise, but the new term is always the next one
    of the candidate: a delayed request of a deposed leader must not reach a later term.
    """
    candidate = state.replicas[index]
    newest = max(replica.term for replica in state.replicas)
    uses_newest_term = not is_transfer or defect is LeaseDefect.HANDOVER_FROM_DEPOSED_LEADER
    term = newest + 1 if uses_newest_term else candidate.term + 1
    steps: Successors = []
    if term > MAX_TERM or candidate.leads or (candidate.promise and not is_transfer):
        return steps
    for voter, replica in enumerate(state.replicas):
        must_not_vote = replica.promise and not is_transfer
        if (
            voter == index
            or must_not_vote
            or replica.entry > candidate.entry
            or replica.term >= term
        ):
            continue
        leads = as_follower(candidate, term, 0)._replace(leads=True)
        keeps_lease = is_transfer and defect is LeaseDefect.HANDOVER_KEEPS_LEASE and replica.leads
        voted = replica if keeps_lease else as_follower(replica, term, replica.promise)
        after = with_replica(with_replica(state, index, leads), voter, voted)
        name = "hand_over" if is_transfer else "elect"
        steps.append((f"{name}_{index}_with_{voter}", after))
    return steps


def leadership_transfer_steps(state: LeaseState, defect: LeaseDefect | None) -> Successors:
    """Returns the steps in which a leader gives up its lease and another replica is elected."""
    steps: Successors = []
    deposed = LeaseDefect.HANDOVER_FROM_DEPOSED_LEADER
    for index, replica in enumerate(state.replicas):
        if not replica.leads:
            continue
        resigning = replica._replace(
            lease=0, round_age=-1, answer_sent=False, answered=False, barrier=-1
        )
        if defect is LeaseDefect.HANDOVER_KEEPS_LEASE:
            resigning = replica
        else:
            resigning = as_follower(resigning, replica.term, replica.promise)
        resigned = with_replica(state, index, resigning)
        for successor in range(REPLICAS):
            is_current = state.replicas[successor].term == replica.term
            if successor != index and (is_current or defect is deposed):
                steps += elect_steps(resigned, successor, True, defect)
    return steps


def lease_ticks(replica: LeaseReplica, defect: LeaseDefect | None) -> int:
    """Returns the remaining ticks of a lease when a majority has answered the current round."""
    if defect is LeaseDefect.LEASE_FROM_LAST_ANSWER:
        return LEASE_TICKS
    missing_margin = DRIFT_TICKS if defect is LeaseDefect.LEASE_WITHOUT_DRIFT_MARGIN else 0
    return max(0, LEASE_TICKS + missing_margin - replica.round_age)


def receive_heartbeat(state: LeaseState, index: int, voter: int) -> LeaseState:
    """Returns the state after a follower promised, stored the leader's entry and answered."""
    leader = state.replicas[index]
    follower = state.replicas[voter]
    promised = as_follower(follower, leader.term, PROMISE_TICKS)
    promised = promised._replace(entry=leader.entry)
    state = with_replica(state, voter, promised)
    if leader.entry == leader.term:
        leader = leader._replace(applied=leader.entry)
        state = state._replace(acknowledged=max(state.acknowledged, leader.entry))
    return with_replica(state, index, leader._replace(answer_sent=True))


def count_answer(state: LeaseState, index: int, defect: LeaseDefect | None) -> LeaseState:
    """Returns the state after the leader received the answer to its round, possibly late."""
    leader = state.replicas[index]
    leader = leader._replace(answered=True, lease=max(leader.lease, lease_ticks(leader, defect)))
    if leader.applied == leader.term and leader.barrier >= 0:
        stale = leader.applied < leader.barrier
        state = state._replace(stale_read=state.stale_read or stale)
        leader = leader._replace(barrier=-1)
    return with_replica(state, index, leader)


def leader_steps(state: LeaseState, index: int, defect: LeaseDefect | None) -> Successors:
    """Returns the writes, heartbeat rounds and barrier reads of a leader, even a deposed one."""
    leader = state.replicas[index]
    steps: Successors = []
    if not leader.leads:
        return steps
    if may_serve(leader, defect) and leader.applied < state.acknowledged:
        steps.append((f"stale_read_{index}", state._replace(stale_read=True)))
    if leader.entry < leader.term:
        written = leader._replace(entry=leader.term)
        steps.append((f"write_{index}", with_replica(state, index, written)))
    sent = leader._replace(round_age=0, answer_sent=False, answered=False)
    steps.append((f"heartbeat_{index}", with_replica(state, index, sent)))
    if leader.barrier < 0:
        # A barrier read starts a separate heartbeat round after the read has arrived.
        waiting = sent._replace(barrier=state.acknowledged)
        if defect is LeaseDefect.BARRIER_COUNTS_EARLIER_ANSWERS:
            served = leader.answered and leader.applied == leader.term
            stale = served and leader.applied < state.acknowledged
            waiting = leader
            state = state._replace(stale_read=state.stale_read or stale)
        steps.append((f"barrier_read_{index}", with_replica(state, index, waiting)))
    if leader.round_age >= 0:
        for voter, follower in enumerate(state.replicas):
            if voter != index and follower.term <= leader.term:
                steps.append((f"hear_{voter}_from_{index}", receive_heartbeat(state, index, voter)))
        if leader.answer_sent:
            steps.append((f"count_answer_{index}", count_answer(state, index, defect)))
    return steps


def restart_step(state: LeaseState, index: int, defect: LeaseDefect | None) -> Successors:
    """Returns the step that restarts a replica, which waits out the longest possible promise."""
    if state.restarts == MAX_RESTARTS:
        return []
    forgets = defect is LeaseDefect.RESTART_FORGETS_PROMISE
    replica = state.replicas[index]
    restarted = as_follower(replica, replica.term, 0 if forgets else PROMISE_TICKS)
    after = with_replica(state, index, restarted)._replace(restarts=state.restarts + 1)
    return [(f"restart_{index}", after)]


def advance_tick(replica: LeaseReplica) -> LeaseReplica:
    """Advances one replica by one tick and drops a round that is older than any lease."""
    age = replica.round_age
    is_expired = age < 0 or age >= LEASE_TICKS
    return replica._replace(
        promise=max(0, replica.promise - 1),
        lease=max(0, replica.lease - 1),
        round_age=-1 if is_expired else age + 1,
        answer_sent=replica.answer_sent and not is_expired,
        answered=replica.answered and not is_expired,
        barrier=-1 if is_expired else replica.barrier,
    )


def canonical(state: LeaseState) -> LeaseState:
    """Returns one representative of the states that differ only in the order of the replicas."""
    return state._replace(replicas=tuple(sorted(state.replicas)))


def successors(state: LeaseState, defect: LeaseDefect | None) -> Successors:
    """Returns the successors under all actions of all replicas and one tick."""
    steps: Successors = leadership_transfer_steps(state, defect)
    for index in range(REPLICAS):
        steps += elect_steps(state, index, False, defect)
        steps += leader_steps(state, index, defect)
        steps += restart_step(state, index, defect)
    advanced = tuple(advance_tick(replica) for replica in state.replicas)
    steps.append(("tick", state._replace(replicas=advanced)))
    return [(label, canonical(after)) for label, after in steps]


@registered_specification
def leader_lease_reads() -> Specification:
    """Returns the specification and its bounds."""
    leader = FOLLOWER._replace(term=1, leads=True)
    voter = FOLLOWER._replace(term=1)
    return Specification(
        name="leader_lease_reads",
        initial=LeaseState((leader, voter, FOLLOWER), 0, 0, False),
        successors=successors,
        invariants={"no_stale_read": lambda d: not d["stale_read"]},
        defects=tuple(LeaseDefect),
        bounds={
            "replicas": REPLICAS,
            "terms": MAX_TERM,
            "restarts": MAX_RESTARTS,
            "promise_ticks": PROMISE_TICKS,
            "lease_ticks": LEASE_TICKS,
            "drift_ticks": DRIFT_TICKS,
        },
    )
