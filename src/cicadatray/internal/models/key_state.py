"""State of the specification `at_most_once`."""

from enum import StrEnum
from typing import NamedTuple

ENTRIES = 2
AGENTS = 2
MAX_ATTEMPTS = 3
MAX_REQUESTS = 2
MAX_RESTARTS = 1
MAX_LOST_REPLIES = 1


class AtMostOnceDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    MISSING_INCARNATION_CHECK = "missing_incarnation_check"
    OTHER_INCARNATION_MEANS_REFUSED = "other_incarnation_means_refused"
    ATTACH_DOES_NOT_RECORD_REFUSAL = "attach_does_not_record_refusal"
    DUPLICATE_ATTEMPT_RUNS = "duplicate_attempt_runs"
    RETRY_AFTER_UNKNOWN = "retry_after_unknown"
    UNCONDITIONAL_REASSIGN = "unconditional_reassign"
    UNKNOWN_DOES_NOT_FENCE = "unknown_does_not_fence"
    NOT_RUN_WITHOUT_RELEASE = "not_run_without_release"
    NOT_RUN_BEFORE_READING_LOG = "not_run_before_reading_log"
    ANSWER_BEFORE_RESOLVE = "answer_before_resolve"
    AGENT_FORGETS_ATTEMPT = "agent_forgets_attempt"


Defect = AtMostOnceDefect


class EntryRequest(NamedTuple):
    """The request that an entry handles; `attempt` is the newest one that it read from the log."""

    phase: str  # idle, claiming, sending, waiting
    attempt: int
    reply: str  # last reply about `attempt`: "", refused, finished, uncertain


class Attempt(NamedTuple):
    """An attempt as assigned in the log, and its status in the ledger of the agent.

    Claims that follow a release start a new generation; a reassignment stays in its generation.
    """

    agent: int
    incarnation: int
    generation: int
    ledger: str  # unseen, refused, running, finished, forgotten
    run_sent: bool


class KeyState(NamedTuple):
    """The record of the key in the log, the agents, the entries, and the answers to callers."""

    record: str  # free, claimed, released, completed, unknown
    attempts: tuple[Attempt, ...]
    incarnations: tuple[int, ...]
    entries: tuple[EntryRequest, ...]
    requests: int
    lost_replies: int
    runs: int
    run_generation: int
    not_run_generation: int  # newest generation reported as not run, -1 for none
    told_completed: bool
    told_unknown: bool


IDLE = EntryRequest("idle", 0, "")


def with_entry(state: KeyState, entry: int, request: EntryRequest) -> KeyState:
    """Returns the state with the request of one entry replaced."""
    entries = list(state.entries)
    entries[entry] = request
    return state._replace(entries=tuple(entries))


def with_attempt(state: KeyState, number: int, attempt: Attempt) -> KeyState:
    """Returns the state with attempt `number`, counted from 1, replaced."""
    attempts = list(state.attempts)
    attempts[number - 1] = attempt
    return state._replace(attempts=tuple(attempts))


def generation_of(state: KeyState) -> int:
    """Returns the generation of the newest attempt, 0 before the first claim."""
    return state.attempts[-1].generation if state.attempts else 0


def answer_not_run(state: KeyState, entry: int) -> KeyState:
    """Answers the caller that no attempt assigned so far has run or will run."""
    newest = max(state.not_run_generation, generation_of(state))
    return with_entry(state._replace(not_run_generation=newest), entry, IDLE)


def answer_from_record(state: KeyState, entry: int) -> KeyState:
    """Answers the caller with the outcome recorded in the log."""
    if state.record == "completed":
        return with_entry(state._replace(told_completed=True), entry, IDLE)
    return with_entry(state._replace(told_unknown=True), entry, IDLE)
