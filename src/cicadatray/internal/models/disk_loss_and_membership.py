"""Disk loss and one-at-a-time membership changes of the replicated log (design 3.2).

Appended entries are synced at once, and elections and acknowledgements are single steps;
`elections_and_commit` checks these in detail. A log entry consists of the term in which it was
created and, for a membership change, the new voters. A replica uses the newest membership in its
log, committed or not. A replica whose disk is lost never rejoins under its old identity; replica 3
is the new identity, which receives the log as a learner and is then promoted.
"""

from collections.abc import Iterator, Sequence
from enum import StrEnum
from itertools import combinations
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

REPLICAS = 4
MAX_TERM = 3
# Maximum log length by the number of initial voters; the state space of longer logs is too large.
MAX_LOG = {3: 3, 4: 2}


class MembershipDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    LOST_DISK_MEMBER_VOTES = "lost_disk_member_votes"
    LOST_DISK_MEMBER_ACKNOWLEDGES = "lost_disk_member_acknowledges"
    TWO_CHANGES_AT_ONCE = "two_changes_at_once"
    CHANGE_BEFORE_OWN_COMMIT = "change_before_own_commit"
    LEARNER_COUNTS_FOR_MAJORITY = "learner_counts_for_majority"


class Entry(NamedTuple):
    """A log entry; `voters` is empty unless it changes the membership."""

    term: int
    voters: tuple[int, ...]


class MemberReplica(NamedTuple):
    """One replica; `leads` is true while it acts as the leader of its term."""

    term: int
    log: tuple[Entry, ...]
    committed: int  # number of entries that the replica, as leader, has committed
    leads: bool


class MembershipState(NamedTuple):
    """The replicas, the entries acknowledged to clients, and the replicas whose disks were lost."""

    replicas: tuple[MemberReplica, ...]
    first_voters: tuple[int, ...]
    acknowledged: tuple[Entry, ...]
    lost: tuple[int, ...]
    second_leader: bool
    diverged: bool


def with_replica(state: MembershipState, index: int, replica: MemberReplica) -> MembershipState:
    """Returns the state with one replica replaced."""
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def voters_of(state: MembershipState, log: tuple[Entry, ...]) -> tuple[int, ...]:
    """Returns the newest membership in a log."""
    return next((entry.voters for entry in reversed(log) if entry.voters), state.first_voters)


def quorums(voters: tuple[int, ...]) -> Iterator[tuple[int, ...]]:
    """Returns the smallest majorities of a set of voters."""
    return combinations(voters, len(voters) // 2 + 1)


def may_vote(
    state: MembershipState, candidate: int, voter: int, term: int, defect: MembershipDefect | None
) -> bool:
    """Returns whether a replica grants its vote to a candidate for a term."""
    replica = state.replicas[voter]
    if voter in state.lost and defect is not MembershipDefect.LOST_DISK_MEMBER_VOTES:
        return False
    candidate_log = state.replicas[candidate].log
    candidate_term = candidate_log[-1].term if candidate_log else 0
    voter_term = replica.log[-1].term if replica.log else 0
    return replica.term < term and (candidate_term, len(candidate_log)) >= (
        voter_term,
        len(replica.log),
    )


def elect_steps(state: MembershipState, index: int, defect: MembershipDefect | None) -> Successors:
    """Returns the steps in which a majority of the membership in a voter's log elects it.

    The new term may be any later one, because earlier candidacies may have failed.
    """
    replica = state.replicas[index]
    voters = voters_of(state, replica.log)
    steps: Successors = []
    if index in state.lost or index not in voters:
        return steps
    for term in range(replica.term + 1, MAX_TERM + 1):
        for quorum in quorums(voters):
            granted = all(may_vote(state, index, voter, term, defect) for voter in quorum)
            if index in quorum and granted:
                elected = elect(state, index, quorum, term)
                steps.append((f"elect_{index}_in_{term}_by_{quorum}", elected))
    return steps


def elect(
    state: MembershipState, index: int, quorum: tuple[int, ...], term: int
) -> MembershipState:
    """Returns the state after the voters have entered the term and the candidate leads it."""
    replicas = list(state.replicas)
    for voter in quorum:
        replicas[voter] = replicas[voter]._replace(term=term, leads=False, committed=0)
    replicas[index] = replicas[index]._replace(leads=True)
    is_second_leader = any(r.leads and r.term == term for r in state.replicas)
    return state._replace(
        replicas=tuple(replicas), second_leader=state.second_leader or is_second_leader
    )


def may_change(state: MembershipState, leader: MemberReplica, defect: object) -> bool:
    """Returns whether a leader may propose a membership change now."""
    has_own_commit = any(e.term == leader.term for e in leader.log[: leader.committed])
    no_pending_change = not any(entry.voters for entry in leader.log[leader.committed :])
    if not has_own_commit and defect is not MembershipDefect.CHANGE_BEFORE_OWN_COMMIT:
        return False
    return no_pending_change or defect is MembershipDefect.TWO_CHANGES_AT_ONCE


def propose_steps(
    state: MembershipState, index: int, defect: MembershipDefect | None
) -> Successors:
    """Returns the steps in which a leader appends an entry, promotes a replica or removes one."""
    leader = state.replicas[index]
    if not leader.leads or len(leader.log) == MAX_LOG[len(state.first_voters)]:
        return []
    proposals = [("append", Entry(leader.term, ()))]
    if may_change(state, leader, defect):
        voters = voters_of(state, leader.log)
        proposals += [
            (f"remove_{removed}", Entry(leader.term, tuple(v for v in voters if v != removed)))
            for removed in voters
            if len(voters) > 1 and removed != index
        ]
        proposals += [
            (f"promote_{added}", Entry(leader.term, tuple(sorted({*voters, added}))))
            for added in range(REPLICAS)
            if added not in voters and added not in state.lost
        ]
    return [
        (
            f"{name}_by_{index}",
            with_replica(state, index, leader._replace(log=(*leader.log, entry))),
        )
        for name, entry in proposals
    ]


def replicate_steps(
    state: MembershipState, index: int, defect: MembershipDefect | None
) -> Successors:
    """Returns the steps in which another replica, voter or learner, copies the leader's log."""
    leader = state.replicas[index]
    steps: Successors = []
    if not leader.leads:
        return steps
    lost_member_acknowledges = defect is MembershipDefect.LOST_DISK_MEMBER_ACKNOWLEDGES
    for other, replica in enumerate(state.replicas):
        is_silent = other in state.lost and not lost_member_acknowledges
        is_equal = replica.term == leader.term and replica.log == leader.log
        if other == index or is_silent or replica.term > leader.term or is_equal:
            continue
        updated = MemberReplica(leader.term, leader.log, 0, False)
        steps.append((f"replicate_{index}_to_{other}", with_replica(state, other, updated)))
    return steps


def commit_steps(state: MembershipState, index: int, defect: MembershipDefect | None) -> Successors:
    """Returns the step that commits the leader's log once a majority of the membership holds it."""
    leader = state.replicas[index]
    if not leader.leads or not leader.log or leader.committed == len(leader.log):
        return []
    if leader.log[-1].term != leader.term:
        return []
    holders = {
        number
        for number, replica in enumerate(state.replicas)
        if (replica.term, replica.log) == (leader.term, leader.log)
    }
    voters = voters_of(state, leader.log)
    if defect is not MembershipDefect.LEARNER_COUNTS_FOR_MAJORITY:
        holders &= set(voters)
    if len(holders) <= len(voters) // 2:
        return []
    acknowledged_log = state.acknowledged
    shared_length = min(len(acknowledged_log), len(leader.log))
    committed = state._replace(
        acknowledged=max(acknowledged_log, leader.log, key=len),
        diverged=state.diverged or acknowledged_log[:shared_length] != leader.log[:shared_length],
    )
    leader = leader._replace(committed=len(leader.log))
    return [(f"commit_{index}", with_replica(committed, index, leader))]


def lose_disk_steps(state: MembershipState, defect: MembershipDefect | None) -> Successors:
    """Returns the step in which replica 2 loses its disk, which happens at most once."""
    if state.lost:
        return []
    empty = MemberReplica(0, (), 0, False)
    return [("lose_disk_2", with_replica(state, 2, empty)._replace(lost=(2,)))]


def successors(state: MembershipState, defect: MembershipDefect | None) -> Successors:
    """Returns the successors under all actions of all replicas."""
    steps: Successors = lose_disk_steps(state, defect)
    for index in range(REPLICAS):
        steps += elect_steps(state, index, defect)
        steps += propose_steps(state, index, defect)
        steps += replicate_steps(state, index, defect)
        steps += commit_steps(state, index, defect)
    return steps


def acknowledged_entries_kept(fields: dict[str, object]) -> bool:
    """Returns whether every leader of a later term has all acknowledged entries."""
    acknowledged = fields["acknowledged"]
    replicas = fields["replicas"]
    assert isinstance(acknowledged, tuple) and isinstance(replicas, tuple)
    newest_term = acknowledged[-1].term if acknowledged else MAX_TERM
    later_logs = [
        replica.log for replica in replicas if replica.leads and replica.term > newest_term
    ]
    return all(log[: len(acknowledged)] == acknowledged for log in later_logs)


def build(name: str, voters: tuple[int, ...], defects: Sequence[MembershipDefect]) -> Specification:
    """Returns the specification with the given initial voters."""
    empty = MemberReplica(0, (), 0, False)
    return Specification(
        name=name,
        initial=MembershipState((empty,) * REPLICAS, voters, (), (), False, False),
        successors=successors,
        invariants={
            "one_leader_per_term": lambda d: not d["second_leader"],
            "acknowledged_entries_kept": acknowledged_entries_kept,
            "committed_prefixes_agree": lambda d: not d["diverged"],
        },
        defects=tuple(defects),
        bounds={
            "voters": len(voters),
            "replicas": REPLICAS,
            "terms": MAX_TERM,
            "log_entries": MAX_LOG[len(voters)],
            "disk_losses": 1,
        },
    )


@registered_specification
def disk_loss_and_membership() -> Specification:
    """Returns the specification for three voters, with replica 3 as the new identity."""
    defects = [d for d in MembershipDefect if d is not MembershipDefect.CHANGE_BEFORE_OWN_COMMIT]
    return build("disk_loss_and_membership", (0, 1, 2), defects)


@registered_specification
def membership_of_four() -> Specification:
    """Returns the specification for four voters, the membership during a replacement."""
    return build("membership_of_four", (0, 1, 2, 3), [MembershipDefect.CHANGE_BEFORE_OWN_COMMIT])
