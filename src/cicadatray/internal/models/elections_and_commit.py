"""Elections, replication and commit of the replicated log under crashes (design 3.2).

There are three replicas; replica 0 starts as the leader of term 1. An entry is represented by the
term in which it was created. Votes, acknowledgements and appends remain deliverable for ever:
`leader_logs[term]` is everything that the leader of a term has sent, so an append may be late,
repeated or from a deposed leader. A crash loses unsynced entries. Pre-vote only delays elections
and is not modelled.
"""

from enum import StrEnum
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

REPLICAS = 3
MAJORITY = 2
MAX_TERM = 3
MAX_LOG = 2
MAX_CRASHES = 1
NOBODY = -1


class ElectionDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    SKIPPED_SYNC = "skipped_sync"
    FORGOTTEN_VOTE = "forgotten_vote"
    FORGOTTEN_TERM = "forgotten_term"
    VOTE_FOR_SHORTER_LOG = "vote_for_shorter_log"
    COMMIT_WITHOUT_MAJORITY = "commit_without_majority"
    APPEND_FROM_OLD_TERM = "append_from_old_term"
    LEADER_COUNTS_UNSYNCED_ENTRY = "leader_counts_unsynced_entry"


class LogReplica(NamedTuple):
    """One replica; `term`, `vote` and the first `synced` entries of `log` are durable."""

    term: int
    vote: int
    log: tuple[int, ...]
    synced: int
    role: str  # follower, candidate, leader


class ElectionState(NamedTuple):
    """The replicas, the messages sent, and the entries acknowledged to clients."""

    replicas: tuple[LogReplica, ...]
    votes: frozenset[tuple[int, int, int]]  # (term, voter, candidate)
    leader_logs: tuple[tuple[int, ...] | None, ...]  # by term, from term 1
    matched: tuple[tuple[int, ...], ...]  # by term: entries each replica acknowledged as synced
    acknowledged: tuple[int, ...]  # longest prefix that was committed
    crashes: int
    second_leader: bool
    diverged: bool  # two committed logs of which neither is a prefix of the other


def with_replica(state: ElectionState, index: int, replica: LogReplica) -> ElectionState:
    """Returns the state with one replica replaced."""
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def with_match(state: ElectionState, term: int, index: int, length: int) -> ElectionState:
    """Returns the state with `length` entries acknowledged to the leader of a term."""
    matched = [list(row) for row in state.matched]
    matched[term - 1][index] = max(length, matched[term - 1][index])
    return state._replace(matched=tuple(tuple(row) for row in matched))


def with_leader_log(state: ElectionState, term: int, log: tuple[int, ...]) -> ElectionState:
    """Returns the state with the log that the leader of a term may send from now on."""
    logs = list(state.leader_logs)
    logs[term - 1] = log
    return state._replace(leader_logs=tuple(logs))


def is_up_to_date(candidate: tuple[int, ...], voter: tuple[int, ...]) -> bool:
    """Compares logs as Raft does: the later last term wins, then the longer log."""
    return (candidate[-1:], len(candidate)) >= (voter[-1:], len(voter))


def vote_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Returns the steps in which other replicas vote for a candidate."""
    candidate = state.replicas[index]
    steps: Successors = []
    for voter, replica in enumerate(state.replicas):
        can_vote = replica.term < candidate.term or (
            replica.term == candidate.term and replica.vote in (NOBODY, index)
        )
        accepts_shorter_log = defect is ElectionDefect.VOTE_FOR_SHORTER_LOG
        if (
            voter == index
            or not can_vote
            or not (accepts_shorter_log or is_up_to_date(candidate.log, replica.log))
        ):
            continue
        voted = replica._replace(term=candidate.term, vote=index, role="follower")
        votes = state.votes | {(candidate.term, voter, index)}
        steps.append(
            (f"vote_{voter}_for_{index}", with_replica(state, voter, voted)._replace(votes=votes))
        )
    return steps


def election_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Returns the steps in which a replica starts a candidacy, collects votes or becomes leader."""
    replica = state.replicas[index]
    steps: Successors = []
    if replica.role != "leader" and replica.term < MAX_TERM:
        term = replica.term + 1
        candidate = replica._replace(term=term, vote=index, role="candidate")
        votes = state.votes | {(term, index, index)}
        steps.append(
            (f"stand_{index}", with_replica(state, index, candidate)._replace(votes=votes))
        )
    if replica.role != "candidate":
        return steps
    steps += vote_steps(state, index, defect)
    supporters = {v for term, v, c in state.votes if (term, c) == (replica.term, index)}
    if len(supporters) >= MAJORITY:
        elected = with_replica(state, index, replica._replace(role="leader"))
        is_second_leader = state.leader_logs[replica.term - 1] is not None
        elected = elected._replace(second_leader=state.second_leader or is_second_leader)
        steps.append((f"lead_{index}", with_leader_log(elected, replica.term, replica.log)))
    return steps


def leader_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Returns the steps in which a leader appends, syncs, or commits what a majority has synced."""
    replica = state.replicas[index]
    steps: Successors = []
    if replica.role != "leader":
        return steps
    if len(replica.log) < MAX_LOG:
        log = (*replica.log, replica.term)
        proposed = with_replica(state, index, replica._replace(log=log))
        steps.append((f"propose_{index}", with_leader_log(proposed, replica.term, log)))
    counts_unsynced = defect is ElectionDefect.LEADER_COUNTS_UNSYNCED_ENTRY
    if state.matched[replica.term - 1][index] < len(replica.log):
        synced = replica.synced if counts_unsynced else len(replica.log)
        stored = with_replica(state, index, replica._replace(synced=synced))
        steps.append((f"sync_{index}", with_match(stored, replica.term, index, len(replica.log))))
    required = 1 if defect is ElectionDefect.COMMIT_WITHOUT_MAJORITY else MAJORITY
    for length in range(1, len(replica.log) + 1):
        holders = [m for m in state.matched[replica.term - 1] if m >= length]
        if len(holders) < required or replica.log[length - 1] != replica.term:
            continue
        steps.append((f"commit_{index}", commit(state, replica.log[:length])))
    return steps


def commit(state: ElectionState, prefix: tuple[int, ...]) -> ElectionState:
    """Returns the state after a prefix of the log was acknowledged to clients."""
    acknowledged_log = state.acknowledged
    shared_length = min(len(acknowledged_log), len(prefix))
    longest = max(acknowledged_log, prefix, key=len)
    diverged = state.diverged or acknowledged_log[:shared_length] != prefix[:shared_length]
    return state._replace(acknowledged=longest, diverged=diverged)


def append_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Returns the steps in which a replica stores, syncs and acknowledges a leader's entries."""
    replica = state.replicas[index]
    steps: Successors = []
    for term, sent in enumerate(state.leader_logs, start=1):
        is_old = term < replica.term and defect is not ElectionDefect.APPEND_FROM_OLD_TERM
        if not sent or is_old or (replica.role == "leader" and term == replica.term):
            continue
        for length in range(1, len(sent) + 1):
            is_stored = replica.log[:length] == sent[:length]
            log = replica.log if is_stored else sent[:length]
            synced = max(length, replica.synced) if is_stored else length
            if defect is ElectionDefect.SKIPPED_SYNC:
                synced = min(replica.synced, length) if not is_stored else replica.synced
            updated = LogReplica(
                max(term, replica.term),
                replica.vote if term <= replica.term else NOBODY,
                log,
                synced,
                "follower",
            )
            stored = with_replica(state, index, updated)
            steps.append(
                (f"append_{index}_from_term_{term}", with_match(stored, term, index, length))
            )
    return steps


def crash_step(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Returns the step in which a replica restarts with the entries that it had synced."""
    if state.crashes == MAX_CRASHES:
        return []
    replica = state.replicas[index]
    restarted = replica._replace(log=replica.log[: replica.synced], role="follower")
    if defect is ElectionDefect.FORGOTTEN_VOTE:
        restarted = restarted._replace(vote=NOBODY)
    if defect is ElectionDefect.FORGOTTEN_TERM:
        restarted = restarted._replace(term=0, vote=NOBODY)
    after = with_replica(state, index, restarted)._replace(crashes=state.crashes + 1)
    return [(f"crash_{index}", after)]


def canonical(state: ElectionState) -> ElectionState:
    """Drops votes, acknowledgements and appends that can no longer have an effect."""
    replicas = state.replicas
    votes = {
        v for v in state.votes if (replicas[v[2]].term, replicas[v[2]].role) == (v[0], "candidate")
    }
    leading = {replica.term for replica in replicas if replica.role == "leader"}
    oldest = min(replica.term for replica in replicas)
    terms = range(1, MAX_TERM + 1)
    no_matches = (0,) * REPLICAS
    return state._replace(
        votes=frozenset(votes),
        matched=tuple(state.matched[t - 1] if t in leading else no_matches for t in terms),
        leader_logs=tuple(state.leader_logs[t - 1] if t >= oldest else None for t in terms),
    )


def successors(state: ElectionState, defect: ElectionDefect | None) -> Successors:
    """Returns the successors under all actions of all replicas."""
    steps: Successors = []
    for index in range(REPLICAS):
        steps += election_steps(state, index, defect)
        steps += leader_steps(state, index, defect)
        steps += append_steps(state, index, defect)
        steps += crash_step(state, index, defect)
    return [(label, canonical(after)) for label, after in steps]


def acknowledged_entries_kept(fields: dict[str, object]) -> bool:
    """Returns whether every leader of a later term has all acknowledged entries."""
    acknowledged = fields["acknowledged"]
    logs = fields["leader_logs"]
    assert isinstance(acknowledged, tuple) and isinstance(logs, tuple)
    later_logs = logs[acknowledged[-1] :] if acknowledged else ()
    return all(log is None or log[: len(acknowledged)] == acknowledged for log in later_logs)


@registered_specification
def elections_and_commit() -> Specification:
    """Returns the specification and its bounds."""
    leader = LogReplica(1, 0, (), 0, "leader")
    voter = LogReplica(1, 0, (), 0, "follower")
    initial = ElectionState(
        replicas=(leader, voter, LogReplica(0, NOBODY, (), 0, "follower")),
        votes=frozenset({(1, 0, 0), (1, 1, 0)}),
        leader_logs=((),) + (None,) * (MAX_TERM - 1),
        matched=((0,) * REPLICAS,) * MAX_TERM,
        acknowledged=(),
        crashes=0,
        second_leader=False,
        diverged=False,
    )
    return Specification(
        name="elections_and_commit",
        initial=initial,
        successors=successors,
        invariants={
            "one_leader_per_term": lambda d: not d["second_leader"],
            "acknowledged_entries_kept": acknowledged_entries_kept,
            "committed_prefixes_agree": lambda d: not d["diverged"],
        },
        defects=tuple(ElectionDefect),
        bounds={
            "replicas": REPLICAS,
            "terms": MAX_TERM,
            "log_entries": MAX_LOG,
            "crashes": MAX_CRASHES,
        },
    )
