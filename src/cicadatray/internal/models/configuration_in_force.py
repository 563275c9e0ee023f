"""Configuration changes and the version that processes act on (design 5).

Two operators propose different documents with the same version number, and resend. Commands in the
log are atomic. A diskless process learns the version from polls (one process is enough, since
processes do not influence each other here); a reply carries the version that its sender knew when
it received the poll, and may be late. Time passes in ticks; a process that has not confirmed the
version for the bound, counted from the sending of its poll, stops acting.
"""

from enum import StrEnum
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

OPERATIONS = 3
# Operations 0 and 1 race to replace version 0; operation 2 replaces version 1.
REPLACES = (0, 0, 1)
MAX_SENDS = 2
PROCESSES = 1
MAX_RESTARTS = 1
BOUND_TICKS = 2


class ConfigurationDefect(StrEnum):
    """Rules of the protocol that can be left out."""

    MISSING_VERSION_CHECK = "missing_version_check"
    FORGOTTEN_OPERATION_ID = "forgotten_operation_id"
    REFUSAL_NOT_RECORDED = "refusal_not_recorded"
    ANSWER_BEFORE_COMMIT = "answer_before_commit"
    MISSING_VERSION_GUARD = "missing_version_guard"
    REPLY_FROM_LAGGING_REPLICA = "reply_from_lagging_replica"
    CONFIRMED_FROM_REPLY_RECEIPT = "confirmed_from_reply_receipt"
    ACTS_WITHOUT_CONFIRMATION = "acts_without_confirmation"


class ConfiguredProcess(NamedTuple):
    """An entry or agent; `replies` are (version, ticks since the poll was sent)."""

    version: int  # -1 when unknown
    unconfirmed: int  # ticks since the sending of the last answered poll
    acted_on: int  # newest version that this process ever acted on, over restarts
    replies: tuple[tuple[int, int], ...]
    reverted: bool
    acted_late: bool


class ConfigurationState(NamedTuple):
    """The log's changes and outcomes, what operators were told, and the processes."""

    changes: tuple[int, ...]  # operation that created version 1, 2, ...
    outcomes: tuple[int, ...]  # by operation: version created, 0 refused, -1 not recorded
    told: tuple[frozenset[int], ...]  # by operation: the outcomes given to the operator
    sends: tuple[int, ...]  # times each operation was sent
    superseded: tuple[int, ...]  # by replaced version: ticks since its successor was committed
    lag: int  # defect: the version that a lagging replica or deposed leader still answers
    processes: tuple[ConfiguredProcess, ...]
    restarts: int


NEW_PROCESS = ConfiguredProcess(-1, BOUND_TICKS, -1, (), False, False)


def with_told(state: ConfigurationState, operation: int, outcome: int) -> ConfigurationState:
    """The answer reaches the operator."""
    told = list(state.told)
    told[operation] = told[operation] | {outcome}
    return state._replace(told=tuple(told))


def change(
    state: ConfigurationState, operation: int, defect: ConfigurationDefect | None
) -> tuple[ConfigurationState, int]:
    """Applies `ChangeConfiguration`; returns the outcome, a version or 0 for a refusal."""
    first = state.outcomes[operation]
    if first >= 0 and defect is not ConfigurationDefect.FORGOTTEN_OPERATION_ID:
        return state, first
    version = len(state.changes)
    current = REPLACES[operation] == version
    if not current and defect is not ConfigurationDefect.MISSING_VERSION_CHECK:
        if defect is ConfigurationDefect.REFUSAL_NOT_RECORDED:
            return state, 0
        outcomes = list(state.outcomes)
        outcomes[operation] = 0
        return state._replace(outcomes=tuple(outcomes)), 0
    outcomes = list(state.outcomes)
    outcomes[operation] = version + 1
    after = state._replace(
        changes=(*state.changes, operation),
        outcomes=tuple(outcomes),
        superseded=(*state.superseded, 0),
    )
    return after, version + 1


def operator_steps(state: ConfigurationState, defect: ConfigurationDefect | None) -> Successors:
    """An operation is sent or resent; its answer arrives or is lost."""
    steps: Successors = []
    for operation in range(OPERATIONS):
        if state.sends[operation] == MAX_SENDS:
            continue
        sends = list(state.sends)
        sends[operation] += 1
        sent = state._replace(sends=tuple(sends))
        valid = REPLACES[operation] == len(state.changes) and state.outcomes[operation] < 0
        if valid and defect is ConfigurationDefect.ANSWER_BEFORE_COMMIT:
            early = with_told(sent, operation, len(state.changes) + 1)
            steps.append((f"answer_{operation}_uncommitted", early))
        applied, outcome = change(sent, operation, defect)
        steps.append((f"commit_{operation}_answer_lost", applied))
        steps.append((f"commit_{operation}", with_told(applied, operation, outcome)))
    lagging = defect is ConfigurationDefect.REPLY_FROM_LAGGING_REPLICA
    if lagging and state.lag < len(state.changes):
        steps.append(("lagging_replica_catches_up", state._replace(lag=state.lag + 1)))
    return steps


def act(process: ConfiguredProcess, state: ConfigurationState, always: bool) -> ConfiguredProcess:
    """Records what the process acts on while it is confirmed."""
    if process.version < 0 or (process.unconfirmed >= BOUND_TICKS and not always):
        return process
    old = process.version < len(state.changes)
    late = old and state.superseded[process.version] >= BOUND_TICKS
    return process._replace(
        acted_on=max(process.acted_on, process.version),
        reverted=process.reverted or process.version < process.acted_on,
        acted_late=process.acted_late or late,
    )


def receive(
    process: ConfiguredProcess, reply: tuple[int, int], defect: ConfigurationDefect | None
) -> ConfiguredProcess:
    """Takes a reply into account; the version never falls."""
    version, age = reply
    guarded = max(version, process.version)
    if defect is ConfigurationDefect.MISSING_VERSION_GUARD:
        guarded = version
    if defect is ConfigurationDefect.CONFIRMED_FROM_REPLY_RECEIPT:
        age = 0
    replies = list(process.replies)
    replies.remove(reply)
    return process._replace(
        version=guarded,
        unconfirmed=min(age, process.unconfirmed),
        replies=tuple(replies),
    )


def process_steps(
    state: ConfigurationState, index: int, defect: ConfigurationDefect | None
) -> Successors:
    """Polls, replies and restarts of one process."""
    process = state.processes[index]
    steps: Successors = []

    def add(label: str, after: ConfiguredProcess, restarts: int = 0) -> None:
        processes = (*state.processes[:index], after, *state.processes[index + 1 :])
        total = state.restarts + restarts
        steps.append((f"{label}_{index}", state._replace(processes=processes, restarts=total)))

    senders = {len(state.changes)}
    if defect is ConfigurationDefect.REPLY_FROM_LAGGING_REPLICA:
        senders.add(state.lag)
    for version in sorted(senders):
        if len(process.replies) < 2:
            replies = tuple(sorted((*process.replies, (version, 0))))
            add(f"poll_answered_with_{version}", process._replace(replies=replies))
    for reply in sorted(set(process.replies)):
        add(f"receive_{reply[0]}", receive(process, reply, defect))
    if state.restarts < MAX_RESTARTS:
        fresh = NEW_PROCESS._replace(
            acted_on=process.acted_on, reverted=process.reverted, acted_late=process.acted_late
        )
        add("restart", fresh, 1)
    return steps


def elapse(process: ConfiguredProcess) -> ConfiguredProcess:
    """One tick for a process; replies that are too old to confirm anything are dropped."""
    replies = tuple((version, age + 1) for version, age in process.replies if age < BOUND_TICKS)
    return process._replace(unconfirmed=min(BOUND_TICKS, process.unconfirmed + 1), replies=replies)


def successors(state: ConfigurationState, defect: ConfigurationDefect | None) -> Successors:
    """All actions, and one tick of time; every process acts whenever it may."""
    steps = operator_steps(state, defect)
    for index in range(PROCESSES):
        steps += process_steps(state, index, defect)
    elapsed = state._replace(
        superseded=tuple(min(BOUND_TICKS, ticks + 1) for ticks in state.superseded),
        processes=tuple(elapse(process) for process in state.processes),
    )
    steps.append(("tick", elapsed))
    always = defect is ConfigurationDefect.ACTS_WITHOUT_CONFIRMATION
    return [(label, canonical(after, always)) for label, after in steps]


def canonical(state: ConfigurationState, always: bool) -> ConfigurationState:
    """Lets every process act."""
    processes = tuple(act(process, state, always) for process in state.processes)
    return state._replace(processes=processes)


def one_winner_per_version(fields: dict[str, object]) -> bool:
    """No two operations were told that they created the same version."""
    told = fields["told"]
    assert isinstance(told, tuple)
    won = [version for outcomes in told for version in outcomes if version > 0]
    return len(won) == len(set(won))


def replaces_what_it_names(fields: dict[str, object]) -> bool:
    """Every change in the log replaced the version that its operator named."""
    changes = fields["changes"]
    assert isinstance(changes, tuple)
    return all(REPLACES[operation] == index for index, operation in enumerate(changes))


@registered_specification
def configuration_in_force() -> Specification:
    """The specification with its bounds."""
    return Specification(
        name="configuration_in_force",
        initial=ConfigurationState(
            changes=(),
            outcomes=(-1,) * OPERATIONS,
            told=(frozenset(),) * OPERATIONS,
            sends=(0,) * OPERATIONS,
            superseded=(),
            lag=0,
            processes=(NEW_PROCESS,) * PROCESSES,
            restarts=0,
        ),
        successors=successors,
        invariants={
            "one_winner_per_version": one_winner_per_version,
            "replaces_what_it_names": replaces_what_it_names,
            "first_outcome_repeated": lambda d: all(len(outcomes) <= 1 for outcomes in d["told"]),
            "never_reverted": lambda d: not any(p.reverted for p in d["processes"]),
            "not_acting_on_old_version": lambda d: not any(p.acted_late for p in d["processes"]),
        },
        defects=tuple(ConfigurationDefect),
        bounds={
            "operations": OPERATIONS,
            "sends_per_operation": MAX_SENDS,
            "processes": PROCESSES,
            "restarts": MAX_RESTARTS,
            "bound_ticks": BOUND_TICKS,
        },
    )
