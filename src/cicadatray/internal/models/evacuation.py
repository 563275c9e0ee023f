"""Evacuation of a data centre: order, commit, confirmation, permissions and late starts.

One operator's order, two leaders one after the other, and one agent of the data centre with one
start. One agent is enough, because agents do not influence each other here. The log is abstracted
to whether the order is committed: an entry that was not committed may survive an election or not.
Confirmations count from their sending, the earliest moment at which an operator can have them; a
lost answer is one after which the operator repeats the order. An agent that is paused takes no
step while time passes. A worker carries out a start in the tick in which its agent sends it.

The specification also models rules that the requirements do not state: an agent takes only the
reply to its outstanding call, and the reply of a leader that withholds starts revokes the starts
that the agent still holds.
"""

from enum import StrEnum
from typing import NamedTuple

from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

# One tick is a quarter of the bound.
BOUND_TICKS = 4
PERMISSION_TICKS = 2
# Time after which an agent abandons a call; its reply may still arrive.
CALL_TICKS = 3
# As long as the bound, so that the result does not depend on a lease that is shorter than it.
LEASE_TICKS = 4
NO_CALL = -1
NOT_CONFIRMED = -1


class EvacuationDefect(StrEnum):
    """Defects that can be seeded into the specification: rules of the protocol that are omitted."""

    PERMISSION_FROM_REPLY = "permission_from_reply"
    PERMISSION_LONGER_THAN_BOUND = "permission_longer_than_bound"
    PERMISSION_STOPS_IN_PAUSE = "permission_stops_in_pause"
    START_AFTER_PERMISSION = "start_after_permission"
    OLD_LEADER_WITHOUT_LEASE = "old_leader_without_lease"
    ELECTION_WITHIN_LEASE = "election_within_lease"
    CONFIRMED_BEFORE_COMMIT = "confirmed_before_commit"
    CONFIRMED_BEFORE_WITHHELD = "confirmed_before_withheld"
    NEW_LEADER_DOES_NOT_WITHHOLD = "new_leader_does_not_withhold"
    HELD_START_NOT_REVOKED = "held_start_not_revoked"
    REPLY_TO_ABANDONED_CALL = "reply_to_abandoned_call"
    OLDER_WITHDRAWAL_TAKES_EFFECT = "older_withdrawal_takes_effect"


class Reply(StrEnum):
    """The reply under way to the agent's outstanding call."""

    NONE = "none"
    START = "start"
    REVOKED = "revoked"


class EvacuationAgent(NamedTuple):
    """The agent; `permission` is the number of ticks for which it may send the start it holds."""

    call_age: int
    reply: Reply
    abandoned_start: bool  # the reply to an abandoned call, with a start, is still under way
    permission: int
    holds_start: bool


class EvacuationState(NamedTuple):
    """Leaders, log and agent; `withholds` says whether leader 1 or 2 withholds starts."""

    term: int
    is_cut_off: bool  # leader 1 cannot reach the other replicas
    lease: int  # of leader 1
    pending: bool  # the order is in the log of the newest leader and is not committed
    committed: bool
    withholds: tuple[bool, bool]
    confirmed_ticks: int
    late_start: bool
    agent: EvacuationAgent


INITIAL = EvacuationState(
    term=1,
    is_cut_off=False,
    lease=LEASE_TICKS,
    pending=False,
    committed=False,
    withholds=(False, False),
    confirmed_ticks=NOT_CONFIRMED,
    late_start=False,
    agent=EvacuationAgent(NO_CALL, Reply.NONE, False, 0, False),
)


def order_steps(state: EvacuationState, defect: EvacuationDefect | None) -> Successors:
    """Returns the steps by which the newest leader takes, commits, applies and confirms an order.

    A repeat after a lost answer takes the same steps; the order that is committed then is kept.
    """
    steps: Successors = []
    can_commit = state.term == 2 or not state.is_cut_off
    withholds = state.withholds[state.term - 1]
    if not state.pending and not state.committed:
        steps.append(("order", state._replace(pending=True)))
    if state.pending and can_commit:
        steps.append(("commit", state._replace(pending=False, committed=True)))
    not_withheld = defect is EvacuationDefect.NEW_LEADER_DOES_NOT_WITHHOLD and state.term == 2
    if state.committed and can_commit and not withholds and not not_withheld:
        steps.append(("apply", with_withheld(state)))
    if state.confirmed_ticks == NOT_CONFIRMED and is_confirmable(state, defect):
        steps.append(("confirm", state._replace(confirmed_ticks=0)))
    if state.committed and defect is EvacuationDefect.OLDER_WITHDRAWAL_TAKES_EFFECT and can_commit:
        # Without the defect the operation is recorded, and its late repeat changes nothing.
        returned = state._replace(committed=False, withholds=(False, False))
        steps.append(("repeat_older_withdrawal", returned))
    return steps


def with_withheld(state: EvacuationState) -> EvacuationState:
    """Returns the state after the newest leader applied the order."""
    withholds = (True, False) if state.term == 1 else (state.withholds[0], True)
    return state._replace(withholds=withholds)


def is_confirmable(state: EvacuationState, defect: EvacuationDefect | None) -> bool:
    """Returns whether the newest leader may answer an order or its repeat."""
    if defect is EvacuationDefect.CONFIRMED_BEFORE_COMMIT and state.pending:
        return True
    skips_apply = defect in (
        EvacuationDefect.CONFIRMED_BEFORE_WITHHELD,
        EvacuationDefect.NEW_LEADER_DOES_NOT_WITHHOLD,
    )
    return state.committed and (state.withholds[state.term - 1] or skips_apply)


def leadership_steps(state: EvacuationState, defect: EvacuationDefect | None) -> Successors:
    """Returns the loss of contact of leader 1 and the election of leader 2.

    Leader 2 applies every committed entry before it acts. An entry that was not committed may be
    in its log, and is then committed by it, or may be lost.
    """
    steps: Successors = []
    if state.term == 2:
        return steps
    if not state.is_cut_off:
        steps.append(("cut_off_leader", state._replace(is_cut_off=True)))
    elif state.lease == 0 or defect is EvacuationDefect.ELECTION_WITHIN_LEASE:
        not_withheld = defect is EvacuationDefect.NEW_LEADER_DOES_NOT_WITHHOLD
        withholds = (state.withholds[0], state.committed and not not_withheld)
        elected = state._replace(term=2, withholds=withholds)
        steps.append(("elect", elected))
        if state.pending:
            steps.append(("elect_without_order", elected._replace(pending=False)))
    return steps


def answer_steps(state: EvacuationState, defect: EvacuationDefect | None) -> Successors:
    """Returns the replies to the agent's call, by leader 1 under its lease or by leader 2."""
    agent = state.agent
    steps: Successors = []
    if agent.call_age == NO_CALL or agent.reply is not Reply.NONE:
        return steps
    without_lease = defect is EvacuationDefect.OLD_LEADER_WITHOUT_LEASE
    may_answer = (state.lease > 0 or without_lease, state.term == 2)
    for leader in (0, 1):
        if may_answer[leader]:
            reply = Reply.REVOKED if state.withholds[leader] else Reply.START
            after = state._replace(agent=agent._replace(reply=reply))
            steps.append((f"answer_by_leader_{leader + 1}", after))
    return steps


def permission_ticks(call_age: int, defect: EvacuationDefect | None) -> int:
    """Returns for how many ticks a reply permits starts."""
    if defect is EvacuationDefect.PERMISSION_FROM_REPLY:
        return PERMISSION_TICKS
    is_longer = defect is EvacuationDefect.PERMISSION_LONGER_THAN_BOUND
    granted = BOUND_TICKS + 1 if is_longer else PERMISSION_TICKS
    return max(0, granted - call_age)


def agent_steps(state: EvacuationState, defect: EvacuationDefect | None) -> Successors:
    """Returns the calls of the agent, the receipt of replies and the start."""
    agent = state.agent
    steps: Successors = []
    if agent.call_age == NO_CALL:
        steps.append(("call", state._replace(agent=agent._replace(call_age=0))))
    if agent.reply is not Reply.NONE:
        keeps = defect is EvacuationDefect.HELD_START_NOT_REVOKED and agent.holds_start
        received = agent._replace(
            call_age=NO_CALL,
            reply=Reply.NONE,
            permission=permission_ticks(agent.call_age, defect),
            holds_start=agent.reply is Reply.START or keeps,
        )
        steps.append(("receive", state._replace(agent=received)))
    if agent.abandoned_start and defect is EvacuationDefect.REPLY_TO_ABANDONED_CALL:
        received = agent._replace(holds_start=True, abandoned_start=False)
        steps.append(("receive_abandoned", state._replace(agent=received)))
    ignores = defect is EvacuationDefect.START_AFTER_PERMISSION
    if agent.holds_start and (agent.permission > 0 or ignores):
        # A tick that begins at the bound already counts as later than the bound.
        is_late = state.late_start or state.confirmed_ticks >= BOUND_TICKS
        started = agent._replace(holds_start=False)
        steps.append(("start", state._replace(agent=started, late_start=is_late)))
    return steps


def tick_steps(state: EvacuationState, defect: EvacuationDefect | None) -> Successors:
    """Returns the passing of a tick, with the defect also one that the agent's clock misses."""
    agent = state.agent
    is_abandoned = agent.call_age >= CALL_TICKS
    is_calling = agent.call_age != NO_CALL
    waiting = agent._replace(
        call_age=agent.call_age + 1 if is_calling and not is_abandoned else NO_CALL,
        reply=Reply.NONE if is_abandoned else agent.reply,
        abandoned_start=agent.abandoned_start or (is_abandoned and agent.reply is Reply.START),
    )
    is_confirmed = state.confirmed_ticks != NOT_CONFIRMED
    after = state._replace(
        lease=max(0, state.lease - 1) if state.is_cut_off else LEASE_TICKS,
        confirmed_ticks=min(state.confirmed_ticks + 1, BOUND_TICKS) if is_confirmed else -1,
    )
    advanced = waiting._replace(permission=max(0, agent.permission - 1))
    steps: Successors = [("tick", after._replace(agent=advanced))]
    if defect is EvacuationDefect.PERMISSION_STOPS_IN_PAUSE:
        steps.append(("tick_in_pause", after._replace(agent=waiting)))
    return steps


def successors(state: EvacuationState, defect: EvacuationDefect | None) -> Successors:
    """Returns the successors under all actions and one tick."""
    return [
        *order_steps(state, defect),
        *leadership_steps(state, defect),
        *answer_steps(state, defect),
        *agent_steps(state, defect),
        *tick_steps(state, defect),
    ]


@registered_specification
def evacuation() -> Specification:
    """Returns the specification and its bounds."""
    return Specification(
        name="evacuation",
        initial=INITIAL,
        successors=successors,
        invariants={
            "no_start_after_bound": lambda d: not d["late_start"],
            "confirmed_order_kept": lambda d: d["term"] == 1
            or d["confirmed_ticks"] == NOT_CONFIRMED
            or d["committed"],
        },
        defects=tuple(EvacuationDefect),
        bounds={
            "leaders": 2,
            "agents": 1,
            "bound_ticks": BOUND_TICKS,
            "permission_ticks": PERMISSION_TICKS,
            "call_ticks": CALL_TICKS,
            "lease_ticks": LEASE_TICKS,
        },
    )
