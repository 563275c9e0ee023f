"""Disk loss and one-at-a-time membership changes of the replicated log (design 3.2).

Everything appended is synced at once; elections and acknowledgements happen in one step, which
`elections_and_commit` examines in detail. A log entry is the term in which it was created and, for
a membership change, the voters from then on. A replica uses the newest membership in its log,
committed or not. A replica whose disk is lost never takes part again under its old identity;
replica 3 is the new identity, which receives the log as a learner and is then promoted.
"""

from collections.abc import Iterator, Sequence
from enum import StrEnum
from itertools import combinations
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

REPLICAS = 4
MAX_TERM = 3
# Longest log by the number of first voters; longer ones make the state space too large.
MAX_LOG = {3: 3, 4: 2}


class MembershipDefect(StrEnum):
    """Rules of the protocol that can be left out."""

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
    committed: int  # entries that it knows as committed while it leads
    leads: bool


class MembershipState(NamedTuple):
    """The replicas, what was acknowledged to clients, and which disks were lost."""

    replicas: tuple[MemberReplica, ...]
    first_voters: tuple[int, ...]
    acknowledged: tuple[Entry, ...]
    lost: tuple[int, ...]
    second_leader: bool
    diverged: bool


def with_replica(state: MembershipState, index: int, replica: MemberReplica) -> MembershipState:
    """Replaces one replica."""
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def voters_of(state: MembershipState, log: tuple[Entry, ...]) -> tuple[int, ...]:
    """The newest membership in a log."""
    return next((entry.voters for entry in reversed(log) if entry.voters), state.first_voters)


def quorums(voters: tuple[int, ...]) -> Iterator[tuple[int, ...]]:
    """The smallest majorities of a set of voters."""
    return combinations(voters, len(voters) // 2 + 1)


def may_vote(
    state: MembershipState, candidate: int, voter: int, term: int, defect: MembershipDefect | None
) -> bool:
    """Whether a replica gives its vote for a term."""
    replica = state.replicas[voter]
    if voter in state.lost and defect is not MembershipDefect.LOST_DISK_MEMBER_VOTES:
        return False
    own = state.replicas[candidate].log
    last = own[-1].term if own else 0
    other = replica.log[-1].term if replica.log else 0
    return replica.term < term and (last, len(own)) >= (other, len(replica.log))


def elect_steps(state: MembershipState, index: int, defect: MembershipDefect | None) -> Successors:
    """A voter collects a majority of the membership that its own log names.

    It may have stood in vain before, so that its term is any later one.
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
    """The voters move to the term, and the candidate leads it."""
    replicas = list(state.replicas)
    for voter in quorum:
        replicas[voter] = replicas[voter]._replace(term=term, leads=False, committed=0)
    replicas[index] = replicas[index]._replace(leads=True)
    second = any(r.leads and r.term == term for r in state.replicas)
    return state._replace(replicas=tuple(replicas), second_leader=state.second_leader or second)


def may_change(state: MembershipState, leader: MemberReplica, defect: object) -> bool:
    """Whether a leader may propose a membership change now."""
    own = any(e.term == leader.term for e in leader.log[: leader.committed])
    settled = not any(entry.voters for entry in leader.log[leader.committed :])
    if not own and defect is not MembershipDefect.CHANGE_BEFORE_OWN_COMMIT:
        return False
    return settled or defect is MembershipDefect.TWO_CHANGES_AT_ONCE


def propose_steps(
    state: MembershipState, index: int, defect: MembershipDefect | None
) -> Successors:
    """A leader appends an entry, promotes the learner or removes a voter."""
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
    """Another replica, voter or learner, takes over the leader's log."""
    leader = state.replicas[index]
    steps: Successors = []
    if not leader.leads:
        return steps
    revived = defect is MembershipDefect.LOST_DISK_MEMBER_ACKNOWLEDGES
    for other, replica in enumerate(state.replicas):
        silent = other in state.lost and not revived
        same = replica.term == leader.term and replica.log == leader.log
        if other == index or silent or replica.term > leader.term or same:
            continue
        follows = MemberReplica(leader.term, leader.log, 0, False)
        steps.append((f"replicate_{index}_to_{other}", with_replica(state, other, follows)))
    return steps


def commit_steps(state: MembershipState, index: int, defect: MembershipDefect | None) -> Successors:
    """A leader commits its whole log once a majority of the newest membership holds it."""
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
    known = state.acknowledged
    shared = min(len(known), len(leader.log))
    committed = state._replace(
        acknowledged=max(known, leader.log, key=len),
        diverged=state.diverged or known[:shared] != leader.log[:shared],
    )
    leader = leader._replace(committed=len(leader.log))
    return [(f"commit_{index}", with_replica(committed, index, leader))]


def lose_disk_steps(state: MembershipState, defect: MembershipDefect | None) -> Successors:
    """Replica 2 loses its disk, once."""
    if state.lost:
        return []
    empty = MemberReplica(0, (), 0, False)
    return [("lose_disk_2", with_replica(state, 2, empty)._replace(lost=(2,)))]


def successors(state: MembershipState, defect: MembershipDefect | None) -> Successors:
    """All actions of all replicas."""
    steps: Successors = lose_disk_steps(state, defect)
    for index in range(REPLICAS):
        steps += elect_steps(state, index, defect)
        steps += propose_steps(state, index, defect)
        steps += replicate_steps(state, index, defect)
        steps += commit_steps(state, index, defect)
    return steps


def acknowledged_entries_kept(fields: dict[str, object]) -> bool:
    """Every leader of a later term has all acknowledged entries."""
    acknowledged = fields["acknowledged"]
    replicas = fields["replicas"]
    assert isinstance(acknowledged, tuple) and isinstance(replicas, tuple)
    newest = acknowledged[-1].term if acknowledged else MAX_TERM
    later = [replica.log for replica in replicas if replica.leads and replica.term > newest]
    return all(log[: len(acknowledged)] == acknowledged for log in later)


def build(name: str, voters: tuple[int, ...], defects: Sequence[MembershipDefect]) -> Specification:
    """The specification with the given first membership."""
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
    """Three voters; replica 3 is the new identity."""
    defects = [d for d in MembershipDefect if d is not MembershipDefect.CHANGE_BEFORE_OWN_COMMIT]
    return build("disk_loss_and_membership", (0, 1, 2), defects)


@registered_specification
def membership_of_four() -> Specification:
    """Four voters, the membership in the middle of a replacement."""
    return build("membership_of_four", (0, 1, 2, 3), [MembershipDefect.CHANGE_BEFORE_OWN_COMMIT])
