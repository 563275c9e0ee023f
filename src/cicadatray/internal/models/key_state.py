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
    """Rules of the protocol that can be left out."""

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
    """The request that an entry is working on; `attempt` is the one it last saw in the log."""

    phase: str  # idle, claiming, sending, waiting
    attempt: int
    reply: str  # last reply about `attempt`: "", refused, finished, uncertain


class Attempt(NamedTuple):
    """An attempt as the log assigned it and as its agent's ledger has it.

    Claims that follow a release start a new generation; a reassignment stays in its generation.
    """

    agent: int
    incarnation: int
    generation: int
    ledger: str  # unseen, refused, running, finished, forgotten
    run_sent: bool


class KeyState(NamedTuple):
    """The log's record of the key, the agents, the entries, and what callers have been told."""

    record: str  # free, claimed, released, completed, unknown
    attempts: tuple[Attempt, ...]
    incarnations: tuple[int, ...]
    entries: tuple[EntryRequest, ...]
    requests: int
    lost_replies: int
    runs: int
    run_generation: int
    not_run_generation: int  # newest generation said not to have run, -1 for none
    told_completed: bool
    told_unknown: bool


IDLE = EntryRequest("idle", 0, "")


def with_entry(state: KeyState, entry: int, request: EntryRequest) -> KeyState:
    """Replaces one entry's request."""
    entries = list(state.entries)
    entries[entry] = request
    return state._replace(entries=tuple(entries))


def with_attempt(state: KeyState, number: int, attempt: Attempt) -> KeyState:
    """Replaces attempt `number`, counted from 1."""
    attempts = list(state.attempts)
    attempts[number - 1] = attempt
    return state._replace(attempts=tuple(attempts))


def generation_of(state: KeyState) -> int:
    """The generation of the newest attempt, 0 before the first claim."""
    return state.attempts[-1].generation if state.attempts else 0


def answer_not_run(state: KeyState, entry: int) -> KeyState:
    """Tells the caller that nothing assigned so far has run or will run."""
    newest = max(state.not_run_generation, generation_of(state))
    return with_entry(state._replace(not_run_generation=newest), entry, IDLE)


def answer_from_record(state: KeyState, entry: int) -> KeyState:
    """Answers with the outcome that the log records."""
    if state.record == "completed":
        return with_entry(state._replace(told_completed=True), entry, IDLE)
    return with_entry(state._replace(told_unknown=True), entry, IDLE)
