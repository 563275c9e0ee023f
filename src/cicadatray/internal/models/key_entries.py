"""Actions of the entries in the specification `at_most_once`."""

from collections.abc import Iterator

from cicadatray.internal.models.key_state import (
    AGENTS,
    IDLE,
    MAX_ATTEMPTS,
    MAX_LOST_REPLIES,
    MAX_REQUESTS,
    Attempt,
    Defect,
    EntryRequest,
    KeyState,
    answer_from_record,
    answer_not_run,
    generation_of,
    with_attempt,
    with_entry,
)
from cicadatray.internal.models.specification import Successors


def assign_attempt(state: KeyState, generation: int) -> Iterator[KeyState]:
    """Yields the states with a new attempt on an agent's current or previous incarnation.

    The previous incarnation models a stale directory. While the agents are in identical states,
    only the first one is assigned.
    """
    if len(state.attempts) == MAX_ATTEMPTS:
        return
    agents = AGENTS if any(state.incarnations) or state.attempts else 1
    for agent, newest in enumerate(state.incarnations[:agents]):
        for incarnation in {newest, max(0, newest - 1)}:
            attempt = Attempt(agent, incarnation, generation, "unseen", False)
            yield state._replace(record="claimed", attempts=(*state.attempts, attempt))


def follow_record(state: KeyState, entry: int) -> KeyState:
    """Answers with the outcome that the log records, or waits for the newest attempt."""
    if state.record in ("completed", "unknown"):
        return answer_from_record(state, entry)
    if state.record == "released":
        return answer_not_run(state, entry)
    return with_entry(state, entry, EntryRequest("waiting", len(state.attempts), ""))


def with_lost_reply(state: KeyState, committed: KeyState, entry: int) -> Iterator[KeyState]:
    """Yields the state after a commit with the reply to the entry delivered, and with it lost."""
    yield committed
    if state.lost_replies < MAX_LOST_REPLIES:
        uninformed = with_entry(committed, entry, state.entries[entry])
        yield uninformed._replace(
            lost_replies=state.lost_replies + 1,
            not_run_generation=state.not_run_generation,
            told_completed=state.told_completed,
            told_unknown=state.told_unknown,
        )


def claim(state: KeyState, entry: int) -> Iterator[KeyState]:
    """Applies `ClaimKey`: the first claim, or the first after a release, assigns an attempt."""
    if state.record not in ("free", "released"):
        yield follow_record(state, entry)
        return
    for assigned in assign_attempt(state, generation_of(state) + 1):
        sending = EntryRequest("sending", len(assigned.attempts), "")
        yield from with_lost_reply(state, with_entry(assigned, entry, sending), entry)


def reassign(state: KeyState, entry: int, defect: Defect | None) -> Iterator[KeyState]:
    """Applies `ReassignKey(attempt -> attempt + 1)` if the refused attempt is still the newest."""
    is_current = len(state.attempts) == state.entries[entry].attempt and state.record == "claimed"
    if not is_current and defect is not Defect.UNCONDITIONAL_REASSIGN:
        yield follow_record(state, entry)
        return
    for assigned in assign_attempt(state, generation_of(state)):
        sending = EntryRequest("sending", len(assigned.attempts), "")
        yield from with_lost_reply(state, with_entry(assigned, entry, sending), entry)


def release(state: KeyState, entry: int, defect: Defect | None) -> Iterator[KeyState]:
    """Applies `ReleaseKey(attempt)`, which must be committed before the answer `not_run`."""
    number = state.entries[entry].attempt
    if defect is Defect.NOT_RUN_WITHOUT_RELEASE:
        yield answer_not_run(state, entry)
    elif len(state.attempts) == number and state.record == "claimed":
        released = state._replace(record="released")
        yield from with_lost_reply(state, answer_not_run(released, entry), entry)
    else:
        yield follow_record(state, entry)


def resolve(state: KeyState, entry: int, outcome: str, defect: Defect | None) -> Iterator[KeyState]:
    """Applies `ResolveKey` if the attempt is the newest; answers with the recorded outcome."""
    if outcome == "completed" and defect is Defect.ANSWER_BEFORE_RESOLVE:
        yield with_entry(state._replace(told_completed=True), entry, IDLE)
        return
    is_current = len(state.attempts) == state.entries[entry].attempt and state.record == "claimed"
    replaces_unknown = state.record == "unknown" and defect is Defect.UNKNOWN_DOES_NOT_FENCE
    if is_current or replaces_unknown:
        resolved = state._replace(record=outcome)
        yield from with_lost_reply(state, answer_from_record(resolved, entry), entry)
    else:
        yield follow_record(state, entry)


def entry_steps(state: KeyState, entry: int, defect: Defect | None) -> Successors:
    """Returns the steps of one entry."""
    request = state.entries[entry]
    steps: Successors = []
    if request.phase == "idle":
        if state.requests < MAX_REQUESTS:
            arrived = with_entry(state, entry, EntryRequest("claiming", 0, ""))
            steps.append(("caller_sends", arrived._replace(requests=state.requests + 1)))
        return steps
    steps.append(("entry_dies_or_gives_up", with_entry(state, entry, IDLE)))
    if request.phase == "claiming":
        steps += [("claim", after) for after in claim(state, entry)]
        if defect is Defect.NOT_RUN_BEFORE_READING_LOG:
            steps.append(("reject_before_claim", answer_not_run(state, entry)))
        return steps
    attempt = state.attempts[request.attempt - 1]
    if request.phase == "sending":
        sent = with_attempt(state, request.attempt, attempt._replace(run_sent=True))
        steps.append(("send_run", with_entry(sent, entry, request._replace(phase="waiting"))))
        return steps
    return steps + waiting_steps(state, entry, defect)


def waiting_steps(state: KeyState, entry: int, defect: Defect | None) -> Successors:
    """Returns the steps of an entry that has a reply or gives up on an unreachable agent."""
    reply = state.entries[entry].reply
    steps: Successors = []
    if reply == "refused" or defect is Defect.RETRY_AFTER_UNKNOWN:
        steps += [("reassign", after) for after in reassign(state, entry, defect)]
    if reply == "refused":
        steps += [("release", after) for after in release(state, entry, defect)]
    if reply == "finished":
        steps += [("resolve", after) for after in resolve(state, entry, "completed", defect)]
    else:
        steps += [("resolve_unknown", after) for after in resolve(state, entry, "unknown", defect)]
    return steps
