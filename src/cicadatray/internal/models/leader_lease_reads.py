"""Reads under the leader's lease and behind the read barrier (design 3.2).

The log is abstracted to the number of its last entry: the leader of term t writes entry t. Each
replica has the term it is in, the entry it holds, and the time until which it promised not to vote,
counted in real ticks for the worst case (a fast clock). Leaders measure their lease from the
sending of a heartbeat round that a majority answered. Votes of one election are collected in one
step. A replica that restarts has lost its promise and its lease, but not its term and entry.
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
    """Rules of the protocol that can be left out."""

    READ_WITHOUT_CONFIRMATION = "read_without_confirmation"
    LEASE_WITHOUT_DRIFT_MARGIN = "lease_without_drift_margin"
    LEASE_FROM_LAST_ANSWER = "lease_from_last_answer"
    RESTART_FORGETS_PROMISE = "restart_forgets_promise"
    HANDOVER_FROM_DEPOSED_LEADER = "handover_from_deposed_leader"
    HANDOVER_KEEPS_LEASE = "handover_keeps_lease"
    READ_BEFORE_OWN_COMMIT = "read_before_own_commit"
    BARRIER_COUNTS_EARLIER_ANSWERS = "barrier_counts_earlier_answers"


class LeaseReplica(NamedTuple):
    """One replica; the last fields are used while it leads."""

    term: int
    promise: int
    entry: int
    applied: int
    leads: bool
    lease: int
    round_age: int  # ticks since the current heartbeat round was sent, -1 for none
    answer_sent: bool  # by one other replica, which makes a majority of three
    answered: bool
    barrier: int  # entry acknowledged when the pending read arrived, -1 for none


class LeaseState(NamedTuple):
    """The replicas, the newest acknowledged entry, and whether a read missed it."""

    replicas: tuple[LeaseReplica, ...]
    acknowledged: int
    restarts: int
    stale_read: bool


FOLLOWER = LeaseReplica(0, 0, 0, 0, False, 0, -1, False, False, -1)


def with_replica(state: LeaseState, index: int, replica: LeaseReplica) -> LeaseState:
    """Replaces one replica."""
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def as_follower(replica: LeaseReplica, term: int, promise: int) -> LeaseReplica:
    """Drops what only a leader has."""
    return FOLLOWER._replace(
        term=term, promise=promise, entry=replica.entry, applied=replica.applied
    )


def may_serve(replica: LeaseReplica, defect: LeaseDefect | None) -> bool:
    """Whether a leader answers reads from its applied state without a further round."""
    own = replica.applied == replica.term or defect is LeaseDefect.READ_BEFORE_OWN_COMMIT
    confirmed = replica.lease > 0 or defect is LeaseDefect.READ_WITHOUT_CONFIRMATION
    return replica.leads and own and confirmed


def elect(state: LeaseState, index: int, handover: bool, defect: LeaseDefect | None) -> Successors:
    """A candidate collects the votes of a majority and leads a new term.

    In a handover by the leader, voters disregard their promise, but the new term is the next one
    only: a request to take over from a leader deposed long ago must not reach a later term.
    """
    candidate = state.replicas[index]
    newest = max(replica.term for replica in state.replicas)
    skips = not handover or defect is LeaseDefect.HANDOVER_FROM_DEPOSED_LEADER
    term = newest + 1 if skips else candidate.term + 1
    steps: Successors = []
    if term > MAX_TERM or candidate.leads or (candidate.promise and not handover):
        return steps
    for voter, replica in enumerate(state.replicas):
        bound = replica.promise and not handover
        if voter == index or bound or replica.entry > candidate.entry or replica.term >= term:
            continue
        leads = as_follower(candidate, term, 0)._replace(leads=True)
        keeps = handover and defect is LeaseDefect.HANDOVER_KEEPS_LEASE and replica.leads
        votes = replica if keeps else as_follower(replica, term, replica.promise)
        after = with_replica(with_replica(state, index, leads), voter, votes)
        name = "hand_over" if handover else "elect"
        steps.append((f"{name}_{index}_with_{voter}", after))
    return steps


def hand_over(state: LeaseState, defect: LeaseDefect | None) -> Successors:
    """The leader gives up its lease and asks another replica to stand."""
    steps: Successors = []
    deposed = LeaseDefect.HANDOVER_FROM_DEPOSED_LEADER
    for index, replica in enumerate(state.replicas):
        if not replica.leads:
            continue
        yielded = replica._replace(
            lease=0, round_age=-1, answer_sent=False, answered=False, barrier=-1
        )
        if defect is LeaseDefect.HANDOVER_KEEPS_LEASE:
            yielded = replica
        else:
            yielded = as_follower(yielded, replica.term, replica.promise)
        resigned = with_replica(state, index, yielded)
        for successor in range(REPLICAS):
            current = state.replicas[successor].term == replica.term
            if successor != index and (current or defect is deposed):
                steps += elect(resigned, successor, True, defect)
    return steps


def lease_ticks(replica: LeaseReplica, defect: LeaseDefect | None) -> int:
    """What is left of a lease when a majority has answered the current round."""
    if defect is LeaseDefect.LEASE_FROM_LAST_ANSWER:
        return LEASE_TICKS
    margin = DRIFT_TICKS if defect is LeaseDefect.LEASE_WITHOUT_DRIFT_MARGIN else 0
    return max(0, LEASE_TICKS + margin - replica.round_age)


def hear(state: LeaseState, index: int, voter: int) -> LeaseState:
    """A follower receives the heartbeat, promises, stores the leader's entry and answers."""
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
    """The leader receives the answer to its current round, possibly late."""
    leader = state.replicas[index]
    leader = leader._replace(answered=True, lease=max(leader.lease, lease_ticks(leader, defect)))
    if leader.applied == leader.term and leader.barrier >= 0:
        stale = leader.applied < leader.barrier
        state = state._replace(stale_read=state.stale_read or stale)
        leader = leader._replace(barrier=-1)
    return with_replica(state, index, leader)


def leader_steps(state: LeaseState, index: int, defect: LeaseDefect | None) -> Successors:
    """Writes, heartbeat rounds and barrier reads of a leader, also of a deposed one."""
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
        # A barrier read sends a round of its own after it arrived.
        waits = sent._replace(barrier=state.acknowledged)
        if defect is LeaseDefect.BARRIER_COUNTS_EARLIER_ANSWERS:
            served = leader.answered and leader.applied == leader.term
            stale = served and leader.applied < state.acknowledged
            waits = leader
            state = state._replace(stale_read=state.stale_read or stale)
        steps.append((f"barrier_read_{index}", with_replica(state, index, waits)))
    if leader.round_age >= 0:
        for voter, follower in enumerate(state.replicas):
            if voter != index and follower.term <= leader.term:
                steps.append((f"hear_{voter}_from_{index}", hear(state, index, voter)))
        if leader.answer_sent:
            steps.append((f"count_answer_{index}", count_answer(state, index, defect)))
    return steps


def restart_step(state: LeaseState, index: int, defect: LeaseDefect | None) -> Successors:
    """After a restart a replica waits as long as it could have promised before."""
    if state.restarts == MAX_RESTARTS:
        return []
    forgets = defect is LeaseDefect.RESTART_FORGETS_PROMISE
    replica = state.replicas[index]
    fresh = as_follower(replica, replica.term, 0 if forgets else PROMISE_TICKS)
    after = with_replica(state, index, fresh)._replace(restarts=state.restarts + 1)
    return [(f"restart_{index}", after)]


def elapse(replica: LeaseReplica) -> LeaseReplica:
    """One tick for one replica; a round older than any lease is forgotten."""
    age = replica.round_age
    expired = age < 0 or age >= LEASE_TICKS
    return replica._replace(
        promise=max(0, replica.promise - 1),
        lease=max(0, replica.lease - 1),
        round_age=-1 if expired else age + 1,
        answer_sent=replica.answer_sent and not expired,
        answered=replica.answered and not expired,
        barrier=-1 if expired else replica.barrier,
    )


def canonical(state: LeaseState) -> LeaseState:
    """One representative of the states that differ only in which replica is which."""
    return state._replace(replicas=tuple(sorted(state.replicas)))


def successors(state: LeaseState, defect: LeaseDefect | None) -> Successors:
    """All actions of all replicas, and one tick of time."""
    steps: Successors = hand_over(state, defect)
    for index in range(REPLICAS):
        steps += elect(state, index, False, defect)
        steps += leader_steps(state, index, defect)
        steps += restart_step(state, index, defect)
    elapsed = tuple(elapse(replica) for replica in state.replicas)
    steps.append(("tick", state._replace(replicas=elapsed)))
    return [(label, canonical(after)) for label, after in steps]


@registered_specification
def leader_lease_reads() -> Specification:
    """The specification with its bounds."""
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
