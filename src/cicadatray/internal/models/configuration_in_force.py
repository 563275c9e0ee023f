"""Configuration changes and the version that processes act on (design 5).

Two operators propose different documents for the same version number, and resend. Commands in the
log are atomic. A process without a disk obtains the version by polling (one process is enough,
since processes do not influence each other here); a reply carries the version that its sender had
when it received the poll, and may be late. Time is counted in ticks; a process stops acting when
BOUND_TICKS have passed since it sent its last answered poll.
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
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    MISSING_VERSION_CHECK = "missing_version_check"
    FORGOTTEN_OPERATION_ID = "forgotten_operation_id"
    REFUSAL_NOT_RECORDED = "refusal_not_recorded"
    ANSWER_BEFORE_COMMIT = "answer_before_commit"
    MISSING_VERSION_GUARD = "missing_version_guard"
    REPLY_FROM_LAGGING_REPLICA = "reply_from_lagging_replica"
    CONFIRMED_FROM_REPLY_RECEIPT = "confirmed_from_reply_receipt"
    ACTS_WITHOUT_CONFIRMATION = "acts_without_confirmation"


class ConfiguredProcess(NamedTuple):
    """An entry or agent; `replies` in transit are (version, ticks since the poll was sent)."""

    version: int  # -1 when unknown
    unconfirmed: int  # ticks since the sending of the last answered poll
    acted_on: int  # newest version that this process has acted on, including before restarts
    replies: tuple[tuple[int, int], ...]
    reverted: bool  # has acted on an older version after a newer one
    acted_late: bool  # has acted on a version replaced at least BOUND_TICKS before


class ConfigurationState(NamedTuple):
    """The changes and outcomes in the log, the outcomes sent to operators, and the processes."""

    changes: tuple[int, ...]  # operation that created version 1, 2, ...
    outcomes: tuple[int, ...]  # by operation: version created, 0 refused, -1 not recorded
    told: tuple[frozenset[int], ...]  # by operation: the outcomes that the operator has received
    sends: tuple[int, ...]  # times each operation was sent
    superseded: tuple[int, ...]  # by replaced version: ticks since its successor was committed
    lag: int  # defect: the version that a lagging replica or deposed leader still sends
    processes: tuple[ConfiguredProcess, ...]
    restarts: int


NEW_PROCESS = ConfiguredProcess(-1, BOUND_TICKS, -1, (), False, False)


def with_answer(state: ConfigurationState, operation: int, outcome: int) -> ConfigurationState:
    """Returns the state after the operator has received an outcome."""
    told = list(state.told)
    told[operation] = told[operation] | {outcome}
    return state._replace(told=tuple(told))


def apply_change(
    state: ConfigurationState, operation: int, defect: ConfigurationDefect | None
) -> tuple[ConfigurationState, int]:
    """Applies `ChangeConfiguration`; returns the state and the version, which is 0 if refused."""
    recorded = state.outcomes[operation]
    if recorded >= 0 and defect is not ConfigurationDefect.FORGOTTEN_OPERATION_ID:
        return state, recorded
    version = len(state.changes)
    is_current = REPLACES[operation] == version
    if not is_current and defect is not ConfigurationDefect.MISSING_VERSION_CHECK:
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
    """Returns the steps that send or resend an operation and deliver or lose its answer."""
    steps: Successors = []
    for operation in range(OPERATIONS):
        if state.sends[operation] == MAX_SENDS:
            continue
        sends = list(state.sends)
        sends[operation] += 1
        sent = state._replace(sends=tuple(sends))
        would_succeed = REPLACES[operation] == len(state.changes) and state.outcomes[operation] < 0
        if would_succeed and defect is ConfigurationDefect.ANSWER_BEFORE_COMMIT:
            answered = with_answer(sent, operation, len(state.changes) + 1)
            steps.append((f"answer_{operation}_uncommitted", answered))
        applied, outcome = apply_change(sent, operation, defect)
        steps.append((f"commit_{operation}_answer_lost", applied))
        steps.append((f"commit_{operation}", with_answer(applied, operation, outcome)))
    has_lagging_replica = defect is ConfigurationDefect.REPLY_FROM_LAGGING_REPLICA
    if has_lagging_replica and state.lag < len(state.changes):
        steps.append(("lagging_replica_catches_up", state._replace(lag=state.lag + 1)))
    return steps


def record_action(
    process: ConfiguredProcess, state: ConfigurationState, skips_confirmation: bool
) -> ConfiguredProcess:
    """Records the version that the process acts on, if its confirmation is recent enough."""
    if process.version < 0 or (process.unconfirmed >= BOUND_TICKS and not skips_confirmation):
        return process
    is_outdated = process.version < len(state.changes)
    is_late = is_outdated and state.superseded[process.version] >= BOUND_TICKS
    return process._replace(
        acted_on=max(process.acted_on, process.version),
        reverted=process.reverted or process.version < process.acted_on,
        acted_late=process.acted_late or is_late,
    )


def receive_reply(
    process: ConfiguredProcess, reply: tuple[int, int], defect: ConfigurationDefect | None
) -> ConfiguredProcess:
    """Returns the process after it received a reply; its version never decreases."""
    version, age = reply
    new_version = max(version, process.version)
    if defect is ConfigurationDefect.MISSING_VERSION_GUARD:
        new_version = version
    if defect is ConfigurationDefect.CONFIRMED_FROM_REPLY_RECEIPT:
        age = 0
    replies = list(process.replies)
    replies.remove(reply)
    return process._replace(
        version=new_version,
        unconfirmed=min(age, process.unconfirmed),
        replies=tuple(replies),
    )


def process_steps(
    state: ConfigurationState, index: int, defect: ConfigurationDefect | None
) -> Successors:
    """Returns the steps for polls, replies and restarts of one process."""
    process = state.processes[index]
    steps: Successors = []

    def add(label: str, after: ConfiguredProcess, restarts: int = 0) -> None:
        processes = (*state.processes[:index], after, *state.processes[index + 1 :])
        restart_count = state.restarts + restarts
        steps.append(
            (f"{label}_{index}", state._replace(processes=processes, restarts=restart_count))
        )

    reply_versions = {len(state.changes)}
    if defect is ConfigurationDefect.REPLY_FROM_LAGGING_REPLICA:
        reply_versions.add(state.lag)
    for version in sorted(reply_versions):
        if len(process.replies) < 2:
            replies = tuple(sorted((*process.replies, (version, 0))))
            add(f"poll_answered_with_{version}", process._replace(replies=replies))
    for reply in sorted(set(process.replies)):
        add(f"receive_{reply[0]}", receive_reply(process, reply, defect))
    if state.restarts < MAX_RESTARTS:
        restarted = NEW_PROCESS._replace(
            acted_on=process.acted_on, reverted=process.reverted, acted_late=process.acted_late
        )
        add("restart", restarted, 1)
    return steps


def advance_tick(process: ConfiguredProcess) -> ConfiguredProcess:
    """Advances a process by one tick and drops replies too old to confirm the version."""
    replies = tuple((version, age + 1) for version, age in process.replies if age < BOUND_TICKS)
    return process._replace(unconfirmed=min(BOUND_TICKS, process.unconfirmed + 1), replies=replies)


def successors(state: ConfigurationState, defect: ConfigurationDefect | None) -> Successors:
    """Returns the successors under all actions and one tick; every process acts whenever it may."""
    steps = operator_steps(state, defect)
    for index in range(PROCESSES):
        steps += process_steps(state, index, defect)
    advanced = state._replace(
        superseded=tuple(min(BOUND_TICKS, ticks + 1) for ticks in state.superseded),
        processes=tuple(advance_tick(process) for process in state.processes),
    )
    steps.append(("tick", advanced))
    skips_confirmation = defect is ConfigurationDefect.ACTS_WITHOUT_CONFIRMATION
    return [(label, with_actions_recorded(after, skips_confirmation)) for label, after in steps]


def with_actions_recorded(
    state: ConfigurationState, skips_confirmation: bool
) -> ConfigurationState:
    """Returns the state after every process that may act has done so."""
    processes = tuple(
        record_action(process, state, skips_confirmation) for process in state.processes
    )
    return state._replace(processes=processes)


def one_winner_per_version(fields: dict[str, object]) -> bool:
    """Returns whether no two operations were reported to have created the same version."""
    told = fields["told"]
    assert isinstance(told, tuple)
    created = [version for outcomes in told for version in outcomes if version > 0]
    return len(created) == len(set(created))


def replaces_what_it_names(fields: dict[str, object]) -> bool:
    """Returns whether every change in the log replaced the version that its operator specified."""
    changes = fields["changes"]
    assert isinstance(changes, tuple)
    return all(REPLACES[operation] == index for index, operation in enumerate(changes))


@registered_specification
def configuration_in_force() -> Specification:
    """Returns the specification and its bounds."""
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
