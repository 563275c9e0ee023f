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


def deliver_reply(state: KeyState, number: int, reply: str) -> Iterator[KeyState]:
    """Yields the states after a reply was lost or reached an entry waiting for the attempt."""
    yield state
    for entry, request in enumerate(state.entries):
        if request.phase == "waiting" and request.attempt == number and request.reply != reply:
            yield with_entry(state, entry, request._replace(reply=reply))


def run_attempt(state: KeyState, number: int, attempt: Attempt) -> KeyState:
    """Returns the state after the agent has started the attempt at its endpoint."""
    started = with_attempt(state, number, attempt._replace(ledger="running"))
    return started._replace(
        runs=min(2, state.runs + 1),
        run_generation=state.run_generation or attempt.generation,
    )


def reply_from_ledger(attempt: Attempt) -> str:
    """Returns the reply for an attempt in the agent's ledger, or "" while it is running."""
    replies_by_status = {"refused": "refused", "finished": "finished", "forgotten": "uncertain"}
    return replies_by_status.get(attempt.ledger, "")


def deliver_message(
    state: KeyState, number: int, message: str, defect: Defect | None
) -> Iterator[KeyState]:
    """Yields the states after `RunAttempt` or `AttachAttempt` arrived at the assigned agent."""
    attempt = state.attempts[number - 1]
    matches = attempt.incarnation == state.incarnations[attempt.agent]
    if not matches and defect is not Defect.MISSING_INCARNATION_CHECK:
        refused = defect is Defect.OTHER_INCARNATION_MEANS_REFUSED
        yield from deliver_reply(state, number, "refused" if refused else "uncertain")
        return
    runs_again = attempt.ledger == "finished" and defect is Defect.DUPLICATE_ATTEMPT_RUNS
    if attempt.ledger != "unseen" and not (message == "run" and runs_again):
        reply = reply_from_ledger(attempt)
        if reply:
            yield from deliver_reply(state, number, reply)
        return
    if message == "run":
        yield run_attempt(state, number, attempt)
    recorded = with_attempt(state, number, attempt._replace(ledger="refused"))
    if message == "attach" and defect is Defect.ATTACH_DOES_NOT_RECORD_REFUSAL:
        recorded = state
    yield from deliver_reply(recorded, number, "refused")


def agent_steps(state: KeyState, defect: Defect | None) -> Successors:
    """Returns the steps for deliveries to agents, completions and the dropping of records."""
    steps: Successors = []
    for number, attempt in enumerate(state.attempts, start=1):
        if attempt.run_sent:
            steps += [("deliver_run", s) for s in deliver_message(state, number, "run", defect)]
        steps += [("deliver_attach", s) for s in deliver_message(state, number, "attach", defect)]
        if attempt.ledger == "running":
            finished = attempt._replace(ledger="finished")
            steps.append(("finish", with_attempt(state, number, finished)))
        if attempt.ledger in ("refused", "finished"):
            agent_forgets = defect is Defect.AGENT_FORGETS_ATTEMPT
            dropped = attempt._replace(ledger="unseen" if agent_forgets else "forgotten")
            steps.append(("drop_record", with_attempt(state, number, dropped)))
    return steps


def restart_steps(state: KeyState) -> Successors:
    """Returns the steps in which an agent restarts with a new incarnation and an empty ledger."""
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
