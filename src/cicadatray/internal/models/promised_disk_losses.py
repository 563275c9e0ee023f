"""Safety and availability of a group of 2f + 1 voters that loses f disks at once (design 3.2).

When the disks are lost, every other replica loses power, so only synced logs remain. The promise is
that the replicas with intact disks can elect one of them, and that an elected replica has every
acknowledged entry. Appended entries are synced at once, an election or acknowledgement is one step,
and a deposed leader takes no further step; `elections_and_commit` and `disk_loss_and_membership`
check what these simplifications omit. A replica that receives no entries represents a partitioned
one. One voter, the suspect, may be replaced by a spare: because its disk is lost, or because it is
partitioned with its disk intact and may return.
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
BOOTSTRAP_VOTERS = 3


class LossDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    GROUP_OF_THREE = "group_of_three"
    DEMOTION_FIRST = "demotion_first"
    LOST_DISK_MEMBER_VOTES = "lost_disk_member_votes"
    COMMAND_BEFORE_WHOLE = "command_before_whole"
    LEARNER_AHEAD = "learner_ahead"


class GroupSize(NamedTuple):
    """A group that tolerates `promise` simultaneous disk losses and starts with `first` voters."""

    promise: int
    first: int
    replicas: int

    @property
    def voters(self) -> int:
        """Returns the number of voters that the promise requires."""
        return 2 * self.promise + 1

    @property
    def suspect(self) -> int:
        """Returns the index of the voter that may be replaced."""
        return self.voters - 1


class Entry(NamedTuple):
    """A log entry; `voters` is empty for a command."""

    term: int
    voters: tuple[int, ...]


Log = tuple[Entry, ...]


class LossState(NamedTuple):
    """The group; `power_lost` is set by the promised disk losses, when all others lose power."""

    logs: tuple[Log, ...]
    leader: int
    term: int
    acknowledged: Log
    lost: tuple[int, ...]
    power_lost: bool


def voters_of(log: Log) -> tuple[int, ...]:
    """Returns the newest membership in a log."""
    return next((entry.voters for entry in reversed(log) if entry.voters), ())


def log_rank(log: Log) -> tuple[int, int]:
    """Returns the last term and the length of a log, which voters compare in an election."""
    return (log[-1].term if log else 0, len(log))


def is_electable(logs: tuple[Log, ...], voting: frozenset[int], index: int) -> bool:
    """Returns whether a majority of the membership in a replica's log would vote for it."""
    voters = voters_of(logs[index])
    granted = [v for v in voters if v in voting and log_rank(logs[v]) <= log_rank(logs[index])]
    return index in granted and len(granted) > len(voters) // 2


def with_log(state: LossState, index: int, log: Log) -> LossState:
    """Returns the state with the log of one replica replaced."""
    logs = list(state.logs)
    logs[index] = log
    return state._replace(logs=tuple(logs))


def elect_steps(state: LossState, defect: LossDefect | None) -> Successors:
    """Returns the steps that elect a replica; its first entry repeats the membership."""
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
    """Returns the steps in which the leader appends a command, or a change if none is pending."""
    log = state.logs[state.leader]
    if len(log) >= MAX_LOG:
        return []
    size = BOOTSTRAP_VOTERS if defect is LossDefect.GROUP_OF_THREE else group.voters
    is_complete = len(voters_of(state.acknowledged)) >= size
    proposals: list[tuple[str, tuple[int, ...]]] = []
    if is_complete or defect is LossDefect.COMMAND_BEFORE_WHOLE:
        proposals.append(("append", ()))
    if not any(entry.voters for entry in log[len(state.acknowledged) :]):
        proposals += propose_changes(group, state, size, defect)
    return [
        (
            f"{name}_by_{state.leader}",
            with_log(state, state.leader, (*log, Entry(state.term, new_voters))),
        )
        for name, new_voters in proposals
    ]


def propose_changes(
    group: GroupSize, state: LossState, size: int, defect: LossDefect | None
) -> list[tuple[str, tuple[int, ...]]]:
    """Returns promotions of spares that have caught up and, with a surplus voter, the demotion."""
    voters = voters_of(state.logs[state.leader])
    proposals: list[tuple[str, tuple[int, ...]]] = []
    prefix = state.acknowledged
    for spare in range(len(state.logs)):
        has_all = state.logs[spare][: len(prefix)] == prefix
        if spare not in voters and spare not in state.lost and has_all and len(voters) <= size:
            proposals.append((f"promote_{spare}", tuple(sorted({*voters, spare}))))
    is_surplus = len(voters) > size or defect is LossDefect.DEMOTION_FIRST
    if group.suspect in voters and group.suspect != state.leader and is_surplus:
        remaining = tuple(voter for voter in voters if voter != group.suspect)
        proposals.append((f"demote_{group.suspect}", remaining))
    return proposals


def replicate_steps(state: LossState, defect: LossDefect | None) -> Successors:
    """Returns the steps that copy the leader's log to a voter, or its committed part to a learner.

    A learner that is ahead of the voters would refuse to vote for them, and cannot be elected.
    """
    log = state.logs[state.leader]
    steps: Successors = []
    for index, replica_log in enumerate(state.logs):
        sends_uncommitted = index in voters_of(log) or defect is LossDefect.LEARNER_AHEAD
        sent = log if sends_uncommitted else state.acknowledged
        if index not in state.lost and replica_log[: len(sent)] != sent:
            steps.append((f"replicate_to_{index}", with_log(state, index, sent)))
    return steps


def commit_steps(state: LossState) -> Successors:
    """Returns the step that acknowledges the leader's log once a majority of voters holds it."""
    log = state.logs[state.leader]
    voters = voters_of(log)
    holders = [voter for voter in voters if state.logs[voter] == log]
    if log == state.acknowledged or len(holders) <= len(voters) // 2:
        return []
    return [("commit", state._replace(acknowledged=log))]


def disk_loss_steps(group: GroupSize, state: LossState) -> Successors:
    """Returns the steps that lose the suspect's disk, or all disks that the promise still allows.

    A lost disk counts until the committed membership is complete without it. The promise applies
    once the group is complete or has acknowledged its first command.
    """
    voters = voters_of(state.acknowledged)
    is_complete = len(voters) >= group.voters
    has_command = any(not entry.voters for entry in state.acknowledged)
    if not is_complete and not has_command:
        return []
    empty: Log = ()
    steps: Successors = []
    if not state.lost and group.suspect in voters and group.suspect != state.leader:
        lost_alone = with_log(state, group.suspect, empty)._replace(lost=(group.suspect,))
        steps.append((f"lose_disk_{group.suspect}", lost_alone))
    is_replaced = is_complete and not set(state.lost) & set(voters)
    allowed = group.promise - (0 if is_replaced else len(state.lost))
    intact = [index for index in range(len(state.logs)) if index not in state.lost]
    for lost_now in combinations(intact, allowed) if allowed else ():
        logs = tuple(empty if index in lost_now else log for index, log in enumerate(state.logs))
        lost = tuple(sorted((*state.lost, *lost_now)))
        after = state._replace(logs=logs, leader=NOBODY, lost=lost, power_lost=True)
        steps.append((f"lose_disks_{lost_now}_and_power", after))
    return steps


def form_steps(group: GroupSize, defect: LossDefect | None) -> Successors:
    """Returns the step that forms the group: all voters hold the first entry of the leader."""
    count = BOOTSTRAP_VOTERS if defect is LossDefect.GROUP_OF_THREE else group.first
    first = (Entry(1, tuple(range(count))),)
    logs = tuple(first if index < count else () for index in range(group.replicas))
    return [("form", LossState(logs, 0, 1, first, (), False))]


def canonical(group: GroupSize, state: LossState) -> LossState:
    """Returns the state with its interchangeable voters, which are never replaced, sorted."""
    count = group.suspect
    if group.first < group.voters:
        return state
    order = sorted(range(count), key=lambda i: (state.logs[i], i == state.leader, i in state.lost))
    new_index = {old: new for new, old in enumerate(order)}
    logs = tuple(state.logs[old] for old in order) + state.logs[count:]
    leader = new_index.get(state.leader, state.leader)
    lost = tuple(sorted(new_index.get(index, index) for index in state.lost))
    return state._replace(logs=logs, leader=leader, lost=lost)


def successors(group: GroupSize, state: LossState, defect: LossDefect | None) -> Successors:
    """Returns the successors under all actions; after the disk losses, only elections."""
    if not state.term:
        return form_steps(group, defect)
    steps = elect_steps(state, defect)
    if not state.power_lost:
        steps += disk_loss_steps(group, state)
        if state.leader != NOBODY:
            steps += propose_steps(group, state, defect)
            steps += replicate_steps(state, defect) + commit_steps(state)
    return [(name, canonical(group, after)) for name, after in steps]


def acknowledged_entries_kept(fields: dict[str, object]) -> bool:
    """Returns whether the leader, if any, has all acknowledged entries."""
    state = LossState(**fields)  # type: ignore[arg-type]
    prefix = state.acknowledged
    return state.leader == NOBODY or state.logs[state.leader][: len(prefix)] == prefix


def majority_can_elect(fields: dict[str, object]) -> bool:
    """Returns whether the replicas with intact disks can elect one of them."""
    state = LossState(**fields)  # type: ignore[arg-type]
    intact = frozenset(range(len(state.logs))) - set(state.lost)
    return not state.term or any(is_electable(state.logs, intact, index) for index in intact)


def build(name: str, group: GroupSize, *defects: LossDefect) -> Specification:
    """Returns the specification of one group."""
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
    """Returns the specification for three voters and a spare."""
    return build(
        "one_promised_disk_loss",
        GroupSize(1, 3, 4),
        LossDefect.DEMOTION_FIRST,
        LossDefect.LOST_DISK_MEMBER_VOTES,
        LossDefect.LEARNER_AHEAD,
    )


@registered_specification
def two_promised_disk_losses() -> Specification:
    """Returns the specification for five voters and a spare."""
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
    """Returns the specification for three bootstrap voters that become five before any command."""
    return build("growth_to_promised_size", GroupSize(2, 3, 5), LossDefect.COMMAND_BEFORE_WHOLE)
