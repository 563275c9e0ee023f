"""Actions of the agents in the specification `at_most_once`."""

from collections.abc import Iterator

from cicadatray.internal.models.key_state import (
    AGENTS,
    MAX_RESTARTS,
    Attempt,
    Defect,
    KeyState,
    with_attempt,
    with_entry,
)
from cicadatray.internal.models.specification import Successors


def replies(state: KeyState, number: int, reply: str) -> Iterator[KeyState]:
    """The reply reaches one of the entries that wait for this attempt, or nobody."""
    yield state
    for entry, request in enumerate(state.entries):
        if request.phase == "waiting" and request.attempt == number and request.reply != reply:
            yield with_entry(state, entry, request._replace(reply=reply))


def run_attempt(state: KeyState, number: int, attempt: Attempt) -> KeyState:
    """The agent starts the attempt at its endpoint."""
    started = with_attempt(state, number, attempt._replace(ledger="running"))
    return started._replace(
        runs=min(2, state.runs + 1),
        run_generation=state.run_generation or attempt.generation,
    )


def ledger_reply(attempt: Attempt) -> str:
    """The reply about an attempt that the agent has seen; none while it is running."""
    known = {"refused": "refused", "finished": "finished", "forgotten": "uncertain"}
    return known.get(attempt.ledger, "")


def delivered(
    state: KeyState, number: int, message: str, defect: Defect | None
) -> Iterator[KeyState]:
    """`RunAttempt` or `AttachAttempt` arrives at the agent that the log names."""
    attempt = state.attempts[number - 1]
    matches = attempt.incarnation == state.incarnations[attempt.agent]
    if not matches and defect is not Defect.MISSING_INCARNATION_CHECK:
        refused = defect is Defect.OTHER_INCARNATION_MEANS_REFUSED
        yield from replies(state, number, "refused" if refused else "uncertain")
        return
    repeated = attempt.ledger == "finished" and defect is Defect.DUPLICATE_ATTEMPT_RUNS
    if attempt.ledger != "unseen" and not (message == "run" and repeated):
        reply = ledger_reply(attempt)
        if reply:
            yield from replies(state, number, reply)
        return
    if message == "run":
        yield run_attempt(state, number, attempt)
    recorded = with_attempt(state, number, attempt._replace(ledger="refused"))
    if message == "attach" and defect is Defect.ATTACH_DOES_NOT_RECORD_REFUSAL:
        recorded = state
    yield from replies(recorded, number, "refused")


def agent_steps(state: KeyState, defect: Defect | None) -> Successors:
    """Deliveries to agents, completions, and loss of an agent's records."""
    steps: Successors = []
    for number, attempt in enumerate(state.attempts, start=1):
        if attempt.run_sent:
            steps += [("deliver_run", s) for s in delivered(state, number, "run", defect)]
        steps += [("deliver_attach", s) for s in delivered(state, number, "attach", defect)]
        if attempt.ledger == "running":
            done = attempt._replace(ledger="finished")
            steps.append(("finish", with_attempt(state, number, done)))
        if attempt.ledger in ("refused", "finished"):
            forgets = defect is Defect.AGENT_FORGETS_ATTEMPT
            lost = attempt._replace(ledger="unseen" if forgets else "forgotten")
            steps.append(("drop_record", with_attempt(state, number, lost)))
    return steps


def restart_steps(state: KeyState) -> Successors:
    """An agent restarts with a new incarnation and an empty ledger."""
    steps: Successors = []
    if sum(state.incarnations) >= MAX_RESTARTS:
        return steps
    for agent in range(AGENTS):
        incarnations = list(state.incarnations)
        incarnations[agent] += 1
        attempts = tuple(
            a._replace(ledger="unseen") if a.agent == agent else a for a in state.attempts
        )
        after = state._replace(incarnations=tuple(incarnations), attempts=attempts)
        steps.append(("agent_restarts", after))
    return steps
