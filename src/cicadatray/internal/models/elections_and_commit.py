"""Elections, replication and commit of the replicated log over crashes (design 3.2).

Three replicas; replica 0 starts as the leader of term 1. An entry is the term in which it was
created. Votes, acknowledgements and appends stay deliverable for ever: `leader_logs[term]` is all
that the leader of a term ever sent, so an append may be late, repeated and come from a leader that
has been deposed. A crash loses what was not synced. Pre-vote only delays elections and is left out.
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
    """Rules of the protocol that can be left out."""

    SKIPPED_SYNC = "skipped_sync"
    FORGOTTEN_VOTE = "forgotten_vote"
    FORGOTTEN_TERM = "forgotten_term"
    VOTE_FOR_SHORTER_LOG = "vote_for_shorter_log"
    COMMIT_WITHOUT_MAJORITY = "commit_without_majority"
    APPEND_FROM_OLD_TERM = "append_from_old_term"
    LEADER_COUNTS_UNSYNCED_ENTRY = "leader_counts_unsynced_entry"


class LogReplica(NamedTuple):
    """One replica; `term` and `vote` are durable, of the log only the first `synced` entries."""

    term: int
    vote: int
    log: tuple[int, ...]
    synced: int
    role: str  # follower, candidate, leader


class ElectionState(NamedTuple):
    """The replicas, what was sent, and what clients were told."""

    replicas: tuple[LogReplica, ...]
    votes: frozenset[tuple[int, int, int]]  # (term, voter, candidate)
    leader_logs: tuple[tuple[int, ...] | None, ...]  # by term, from term 1
    matched: tuple[tuple[int, ...], ...]  # by term: entries each replica acknowledged as synced
    acknowledged: tuple[int, ...]  # longest prefix that was committed
    crashes: int
    second_leader: bool
    diverged: bool  # two commits that are not prefixes of each other


def with_replica(state: ElectionState, index: int, replica: LogReplica) -> ElectionState:
    """Replaces one replica."""
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def with_match(state: ElectionState, term: int, index: int, length: int) -> ElectionState:
    """Records the acknowledgement of `length` entries to the leader of a term."""
    matched = [list(row) for row in state.matched]
    matched[term - 1][index] = max(length, matched[term - 1][index])
    return state._replace(matched=tuple(tuple(row) for row in matched))


def with_leader_log(state: ElectionState, term: int, log: tuple[int, ...]) -> ElectionState:
    """Records what the leader of a term may send from now on."""
    logs = list(state.leader_logs)
    logs[term - 1] = log
    return state._replace(leader_logs=tuple(logs))


def is_up_to_date(candidate: tuple[int, ...], voter: tuple[int, ...]) -> bool:
    """Raft's comparison: the later last term wins, then the longer log."""
    return (candidate[-1:], len(candidate)) >= (voter[-1:], len(voter))


def vote_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Other replicas vote for a candidate."""
    candidate = state.replicas[index]
    steps: Successors = []
    for voter, replica in enumerate(state.replicas):
        free = replica.term < candidate.term or (
            replica.term == candidate.term and replica.vote in (NOBODY, index)
        )
        behind = defect is ElectionDefect.VOTE_FOR_SHORTER_LOG
        if voter == index or not free or not (behind or is_up_to_date(candidate.log, replica.log)):
            continue
        voted = replica._replace(term=candidate.term, vote=index, role="follower")
        votes = state.votes | {(candidate.term, voter, index)}
        steps.append(
            (f"vote_{voter}_for_{index}", with_replica(state, voter, voted)._replace(votes=votes))
        )
    return steps


def election_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """Standing, collecting votes, becoming leader."""
    replica = state.replicas[index]
    steps: Successors = []
    if replica.role != "leader" and replica.term < MAX_TERM:
        term = replica.term + 1
        stands = replica._replace(term=term, vote=index, role="candidate")
        votes = state.votes | {(term, index, index)}
        steps.append((f"stand_{index}", with_replica(state, index, stands)._replace(votes=votes)))
    if replica.role != "candidate":
        return steps
    steps += vote_steps(state, index, defect)
    received = {v for term, v, c in state.votes if (term, c) == (replica.term, index)}
    if len(received) >= MAJORITY:
        led = with_replica(state, index, replica._replace(role="leader"))
        second = state.leader_logs[replica.term - 1] is not None
        led = led._replace(second_leader=state.second_leader or second)
        steps.append((f"lead_{index}", with_leader_log(led, replica.term, replica.log)))
    return steps


def leader_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """A leader appends, syncs its own log, and commits what a majority has synced."""
    replica = state.replicas[index]
    steps: Successors = []
    if replica.role != "leader":
        return steps
    if len(replica.log) < MAX_LOG:
        log = (*replica.log, replica.term)
        proposed = with_replica(state, index, replica._replace(log=log))
        steps.append((f"propose_{index}", with_leader_log(proposed, replica.term, log)))
    unsynced = defect is ElectionDefect.LEADER_COUNTS_UNSYNCED_ENTRY
    if state.matched[replica.term - 1][index] < len(replica.log):
        synced = replica.synced if unsynced else len(replica.log)
        stored = with_replica(state, index, replica._replace(synced=synced))
        steps.append((f"sync_{index}", with_match(stored, replica.term, index, len(replica.log))))
    needed = 1 if defect is ElectionDefect.COMMIT_WITHOUT_MAJORITY else MAJORITY
    for length in range(1, len(replica.log) + 1):
        holders = [m for m in state.matched[replica.term - 1] if m >= length]
        if len(holders) < needed or replica.log[length - 1] != replica.term:
            continue
        steps.append((f"commit_{index}", commit(state, replica.log[:length])))
    return steps


def commit(state: ElectionState, prefix: tuple[int, ...]) -> ElectionState:
    """Acknowledges a prefix of the log to clients."""
    known = state.acknowledged
    shared = min(len(known), len(prefix))
    longest = max(known, prefix, key=len)
    diverged = state.diverged or known[:shared] != prefix[:shared]
    return state._replace(acknowledged=longest, diverged=diverged)


def append_steps(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """A follower stores what a leader sent, syncs it, and acknowledges it."""
    replica = state.replicas[index]
    steps: Successors = []
    for term, sent in enumerate(state.leader_logs, start=1):
        old = term < replica.term and defect is not ElectionDefect.APPEND_FROM_OLD_TERM
        if not sent or old or (replica.role == "leader" and term == replica.term):
            continue
        for length in range(1, len(sent) + 1):
            kept = replica.log[:length] == sent[:length]
            log = replica.log if kept else sent[:length]
            synced = max(length, replica.synced) if kept else length
            if defect is ElectionDefect.SKIPPED_SYNC:
                synced = min(replica.synced, length) if not kept else replica.synced
            follows = LogReplica(
                max(term, replica.term),
                replica.vote if term <= replica.term else NOBODY,
                log,
                synced,
                "follower",
            )
            stored = with_replica(state, index, follows)
            steps.append(
                (f"append_{index}_from_term_{term}", with_match(stored, term, index, length))
            )
    return steps


def crash_step(state: ElectionState, index: int, defect: ElectionDefect | None) -> Successors:
    """A replica restarts with what it had synced."""
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
    nothing = (0,) * REPLICAS
    return state._replace(
        votes=frozenset(votes),
        matched=tuple(state.matched[t - 1] if t in leading else nothing for t in terms),
        leader_logs=tuple(state.leader_logs[t - 1] if t >= oldest else None for t in terms),
    )


def successors(state: ElectionState, defect: ElectionDefect | None) -> Successors:
    """All actions of all replicas."""
    steps: Successors = []
    for index in range(REPLICAS):
        steps += election_steps(state, index, defect)
        steps += leader_steps(state, index, defect)
        steps += append_steps(state, index, defect)
        steps += crash_step(state, index, defect)
    return [(label, canonical(after)) for label, after in steps]


def acknowledged_entries_kept(fields: dict[str, object]) -> bool:
    """Every leader of a later term has all acknowledged entries."""
    acknowledged = fields["acknowledged"]
    logs = fields["leader_logs"]
    assert isinstance(acknowledged, tuple) and isinstance(logs, tuple)
    later = logs[acknowledged[-1] :] if acknowledged else ()
    return all(log is None or log[: len(acknowledged)] == acknowledged for log in later)


@registered_specification
def elections_and_commit() -> Specification:
    """The specification with its bounds."""
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
