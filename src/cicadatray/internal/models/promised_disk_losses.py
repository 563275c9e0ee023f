"""What a group of 2f + 1 voters bears when f disks are lost at once (design 3.2).

At the moment of the losses every other replica loses power, so nothing but synced logs is left. The
promise: some replica can be elected by replicas that still have their disks, and whoever is elected
has every acknowledged entry. Everything appended is synced at once, an election or acknowledgement
is one step, and a deposed leader does nothing more; `elections_and_commit` and
`disk_loss_and_membership` examine what that leaves out. A replica that nobody replicates to stands
for one that is cut off. One voter, the suspect, may be replaced by a spare: because its disk is
lost, or because it is cut off with its disk and may come back.
"""

from enum import StrEnum
from functools import partial
from itertools import combinations
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

MAX_TERM = 2
MAX_LOG = 4
NOBODY = -1
SEEDS = 3


class LossDefect(StrEnum):
    """Rules of the protocol that can be left out."""

    GROUP_OF_THREE = "group_of_three"
    DEMOTION_FIRST = "demotion_first"
    LOST_DISK_MEMBER_VOTES = "lost_disk_member_votes"
    COMMAND_BEFORE_WHOLE = "command_before_whole"
    LEARNER_AHEAD = "learner_ahead"


class GroupSize(NamedTuple):
    """`promise` disks may be lost at once; the group is formed with `first` voters."""

    promise: int
    first: int
    replicas: int

    @property
    def voters(self) -> int:
        """How many voters the promise needs."""
        return 2 * self.promise + 1

    @property
    def suspect(self) -> int:
        """The voter that may be replaced."""
        return self.voters - 1


class Entry(NamedTuple):
    """A log entry; `voters` is empty for a command."""

    term: int
    voters: tuple[int, ...]


Log = tuple[Entry, ...]


class LossState(NamedTuple):
    """`is_hit` is true after the losses that the promise is about."""

    logs: tuple[Log, ...]
    leader: int
    term: int
    acknowledged: Log
    lost: tuple[int, ...]
    is_hit: bool


def voters_of(log: Log) -> tuple[int, ...]:
    """The newest membership in a log."""
    return next((entry.voters for entry in reversed(log) if entry.voters), ())


def recency(log: Log) -> tuple[int, int]:
    """What a voter compares before it gives its vote."""
    return (log[-1].term if log else 0, len(log))


def is_electable(logs: tuple[Log, ...], voting: frozenset[int], index: int) -> bool:
    """Whether a majority of the membership in its log would vote for a replica."""
    voters = voters_of(logs[index])
    granted = [v for v in voters if v in voting and recency(logs[v]) <= recency(logs[index])]
    return index in granted and len(granted) > len(voters) // 2


def with_log(state: LossState, index: int, log: Log) -> LossState:
    """Replaces the log of one replica."""
    logs = list(state.logs)
    logs[index] = log
    return state._replace(logs=tuple(logs))


def elect_steps(state: LossState, defect: LossDefect | None) -> Successors:
    """A replica is elected; its first entry restates the membership."""
    replicas = frozenset(range(len(state.logs)))
    intact = replicas - set(state.lost)
    voting = replicas if defect is LossDefect.LOST_DISK_MEMBER_VOTES else intact
    steps: Successors = []
    if state.term >= MAX_TERM:
        return steps
    for index in sorted(intact):
        if index != state.leader and is_electable(state.logs, voting, index):
            log = state.logs[index]
            first = Entry(state.term + 1, voters_of(log))
            elected = state._replace(leader=index, term=state.term + 1)
            steps.append((f"elect_{index}", with_log(elected, index, (*log, first))))
    return steps


def propose_steps(group: GroupSize, state: LossState, defect: LossDefect | None) -> Successors:
    """The leader appends a command, or a change once the one before is committed."""
    log = state.logs[state.leader]
    if len(log) >= MAX_LOG:
        return []
    size = SEEDS if defect is LossDefect.GROUP_OF_THREE else group.voters
    is_whole = len(voters_of(state.acknowledged)) >= size
    proposals: list[tuple[str, tuple[int, ...]]] = []
    if is_whole or defect is LossDefect.COMMAND_BEFORE_WHOLE:
        proposals.append(("append", ()))
    if not any(entry.voters for entry in log[len(state.acknowledged) :]):
        proposals += changes(group, state, size, defect)
    return [
        (f"{name}_by_{state.leader}", with_log(state, state.leader, (*log, Entry(state.term, new))))
        for name, new in proposals
    ]


def changes(
    group: GroupSize, state: LossState, size: int, defect: LossDefect | None
) -> list[tuple[str, tuple[int, ...]]]:
    """A spare that has caught up is promoted; with one voter too many the suspect is demoted."""
    voters = voters_of(state.logs[state.leader])
    found: list[tuple[str, tuple[int, ...]]] = []
    known = state.acknowledged
    for spare in range(len(state.logs)):
        has_all = state.logs[spare][: len(known)] == known
        if spare not in voters and spare not in state.lost and has_all and len(voters) <= size:
            found.append((f"promote_{spare}", tuple(sorted({*voters, spare}))))
    is_surplus = len(voters) > size or defect is LossDefect.DEMOTION_FIRST
    if group.suspect in voters and group.suspect != state.leader and is_surplus:
        left = tuple(voter for voter in voters if voter != group.suspect)
        found.append((f"demote_{group.suspect}", left))
    return found


def replicate_steps(state: LossState, defect: LossDefect | None) -> Successors:
    """A voter takes over the leader's log, a learner what is committed of it.

    A learner that is ahead of the voters would refuse them its vote, and cannot be elected itself.
    """
    log = state.logs[state.leader]
    steps: Successors = []
    for index, own in enumerate(state.logs):
        has_all = index in voters_of(log) or defect is LossDefect.LEARNER_AHEAD
        sent = log if has_all else state.acknowledged
        if index not in state.lost and own[: len(sent)] != sent:
            steps.append((f"replicate_to_{index}", with_log(state, index, sent)))
    return steps


def commit_steps(state: LossState) -> Successors:
    """The leader acknowledges its log once a majority of the newest membership holds it."""
    log = state.logs[state.leader]
    voters = voters_of(log)
    holders = [voter for voter in voters if state.logs[voter] == log]
    if log == state.acknowledged or len(holders) <= len(voters) // 2:
        return []
    return [("commit", state._replace(acknowledged=log))]


def lose_steps(group: GroupSize, state: LossState) -> Successors:
    """The suspect's disk is lost alone, or as many as the promise still allows at once.

    A lost disk counts until the committed membership is whole without it. The promise begins when
    the group is whole, or at the first command that it acknowledges.
    """
    voters = voters_of(state.acknowledged)
    is_whole = len(voters) >= group.voters
    has_command = any(not entry.voters for entry in state.acknowledged)
    if not is_whole and not has_command:
        return []
    empty: Log = ()
    steps: Successors = []
    if not state.lost and group.suspect in voters and group.suspect != state.leader:
        alone = with_log(state, group.suspect, empty)._replace(lost=(group.suspect,))
        steps.append((f"lose_disk_{group.suspect}", alone))
    is_replaced = is_whole and not set(state.lost) & set(voters)
    allowed = group.promise - (0 if is_replaced else len(state.lost))
    intact = [index for index in range(len(state.logs)) if index not in state.lost]
    for hit in combinations(intact, allowed) if allowed else ():
        logs = tuple(empty if index in hit else log for index, log in enumerate(state.logs))
        lost = tuple(sorted((*state.lost, *hit)))
        after = state._replace(logs=logs, leader=NOBODY, lost=lost, is_hit=True)
        steps.append((f"lose_disks_{hit}_and_power", after))
    return steps


def form_steps(group: GroupSize, defect: LossDefect | None) -> Successors:
    """The group begins with a leader whose first entry all voters hold."""
    count = SEEDS if defect is LossDefect.GROUP_OF_THREE else group.first
    first = (Entry(1, tuple(range(count))),)
    logs = tuple(first if index < count else () for index in range(group.replicas))
    return [("form", LossState(logs, 0, 1, first, (), False))]


def alike(group: GroupSize, state: LossState) -> LossState:
    """Sorts the voters that are never replaced, so that states differ only in what matters."""
    count = group.suspect
    if group.first < group.voters:
        return state
    order = sorted(range(count), key=lambda i: (state.logs[i], i == state.leader, i in state.lost))
    place = {old: new for new, old in enumerate(order)}
    logs = tuple(state.logs[old] for old in order) + state.logs[count:]
    leader = place.get(state.leader, state.leader)
    lost = tuple(sorted(place.get(index, index) for index in state.lost))
    return state._replace(logs=logs, leader=leader, lost=lost)


def successors(group: GroupSize, state: LossState, defect: LossDefect | None) -> Successors:
    """All actions; after the losses only an election is of interest."""
    if not state.term:
        return form_steps(group, defect)
    steps = elect_steps(state, defect)
    if not state.is_hit:
        steps += lose_steps(group, state)
        if state.leader != NOBODY:
            steps += propose_steps(group, state, defect)
            steps += replicate_steps(state, defect) + commit_steps(state)
    return [(name, alike(group, after)) for name, after in steps]


def acknowledged_entries_kept(fields: dict[str, object]) -> bool:
    """Whoever leads has all acknowledged entries."""
    state = LossState(**fields)  # type: ignore[arg-type]
    known = state.acknowledged
    return state.leader == NOBODY or state.logs[state.leader][: len(known)] == known


def majority_can_elect(fields: dict[str, object]) -> bool:
    """Replicas that have their disks can elect one of them."""
    state = LossState(**fields)  # type: ignore[arg-type]
    intact = frozenset(range(len(state.logs))) - set(state.lost)
    return not state.term or any(is_electable(state.logs, intact, index) for index in intact)


def build(name: str, group: GroupSize, *defects: LossDefect) -> Specification:
    """The specification of one group."""
    empty: tuple[Log, ...] = ((),) * group.replicas
    return Specification(
        name=name,
        initial=LossState(empty, NOBODY, 0, (), (), False),
        successors=partial(successors, group),
        invariants={
            "acknowledged_entries_kept": acknowledged_entries_kept,
            "majority_can_elect": majority_can_elect,
        },
        defects=defects,
        bounds={**group._asdict(), "terms": MAX_TERM, "log_entries": MAX_LOG},
    )


@registered_specification
def one_promised_disk_loss() -> Specification:
    """Three voters and a spare."""
    return build(
        "one_promised_disk_loss",
        GroupSize(1, 3, 4),
        LossDefect.DEMOTION_FIRST,
        LossDefect.LOST_DISK_MEMBER_VOTES,
        LossDefect.LEARNER_AHEAD,
    )


@registered_specification
def two_promised_disk_losses() -> Specification:
    """Five voters and a spare."""
    return build(
        "two_promised_disk_losses",
        GroupSize(2, 5, 6),
        LossDefect.GROUP_OF_THREE,
        LossDefect.DEMOTION_FIRST,
        LossDefect.LOST_DISK_MEMBER_VOTES,
        LossDefect.LEARNER_AHEAD,
    )


@registered_specification
def growth_to_promised_size() -> Specification:
    """Three seeds, and two more replicas that are promoted before the first command."""
    return build("growth_to_promised_size", GroupSize(2, 3, 5), LossDefect.COMMAND_BEFORE_WHOLE)
