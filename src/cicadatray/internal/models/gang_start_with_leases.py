"""Gang start under leases: place, prepare, decide, start, stop, regrant (design 7).

Gang 1 (epoch 1) needs members 0 and 1. Once it is stopped and member 0 is released, gang 2
(epoch 2) is granted member 0. Commands in the replicated log are atomic. PrepareTask, StartTask
and StopTask may arrive at any time after they could have been sent, also repeatedly and from a
deposed leader. An agent that is frozen or has crashed takes no step while time passes.

The specification also models rules that the design page does not state: the reply to an
announcement contains the epoch that may continue and raises the lowest epoch that the agent
accepts; StopTask raises the latter above its own epoch; only a leader with a valid leadership lease
replies to announcements; the worker's lease is an absolute deadline.
"""

from cicadatray.internal.models.gang_messages import exchange_steps, grant_ticks, message_steps
from cicadatray.internal.models.gang_state import (
    DRIFT_MARGIN_TICKS,
    DRIFT_TICKS,
    ELECTION_TICKS,
    LEASE_TICKS,
    MAX_ANNOUNCEMENT_TICKS,
    MAX_RESTARTS,
    NO_EXCHANGE,
    GangDefect,
    GangMember,
    GangState,
    initial_state,
    is_partial,
    tick,
    with_member,
)
from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors

# Longest time that gang 1 may run on some of its members only: detection by the leader, a change of
# leader that restarts the measurement of all leases, and the expiry of the last running member's
# lease.
PARTIAL_BOUND_TICKS = 11


def leader_steps(state: GangState) -> Successors:
    """Returns the steps in which the acting leader commits a command."""
    steps: Successors = []
    if not state.leader_acts:
        return steps
    if state.gang1 == "placed" and all(state.prepared1):
        steps.append(("commit_start1", state._replace(gang1="started", decided1=True)))
    if state.gang1 != "stopped":
        steps.append(("commit_stop1", state._replace(gang1="stopped", member_lost=False)))
    released = state.stop_confirmed or not state.grants[0]
    has_single_member = len(state.members) == 1
    if has_single_member and state.gang1 == "stopped" and state.gang2 == "none" and released:
        steps.append(("commit_place2", state._replace(gang2="placed")))
    if state.gang2 == "placed" and state.prepared2:
        steps.append(("commit_start2", state._replace(gang2="started")))
    return steps


def fault_steps(state: GangState, defect: GangDefect | None) -> Successors:
    """Returns the steps for a frozen or isolated leader, the next election and agent restarts."""
    steps: Successors = []
    if state.term == 1 and state.leader_acts:
        steps.append(("leader_loses_lease", state._replace(leader_acts=False)))
    if not state.leader_acts:
        assumes_expired = defect is GangDefect.NEW_LEADER_ASSUMES_EXPIRED
        ticks = 0 if assumes_expired else grant_ticks(defect)
        old_leader_view = state.gang1 if defect is GangDefect.DEPOSED_LEADER_RENEWS else ""
        elected = state._replace(
            term=2,
            leader_acts=True,
            leaderless_ticks=0,
            grants=(ticks,) * len(state.grants),
            member_lost=False,
            stop_confirmed=False,
            prepared1=(False,) * len(state.prepared1),
            prepared2=False,
            deposed_view="" if old_leader_view == "stopped" else old_leader_view,
        )
        steps.append(("elect_leader", elected))
    if state.restarts < MAX_RESTARTS and len(state.members) == 1:
        for index, member in enumerate(state.members):
            restarted = GangMember(0, 0, 0, member.running, 0, NO_EXCHANGE)
            after = with_member(state, index, restarted)._replace(restarts=state.restarts + 1)
            steps.append((f"agent_restarts_{index}", after))
    return steps


def canonical(state: GangState) -> GangState:
    """Clears values that no longer affect any action, and sorts the interchangeable members."""
    if not is_partial(state) and state.partial_ticks:
        state = state._replace(partial_ticks=0)
    if state.gang1 == "stopped":
        awaits_regrant = len(state.members) == 1 and state.gang2 == "none"
        state = state._replace(
            grants=state.grants if awaits_regrant else (0,) * len(state.grants),
            prepared1=(False,) * len(state.prepared1),
            prepared2=state.prepared2 and state.gang2 == "placed",
            stop_confirmed=state.stop_confirmed and awaits_regrant,
        )
    if len(state.members) > 1:
        order = sorted(zip(state.members, state.grants, state.prepared1, strict=True))
        members, grants, prepared = zip(*order, strict=True)
        state = state._replace(members=members, grants=grants, prepared1=prepared)
    return state


def successors(state: GangState, defect: GangDefect | None) -> Successors:
    """Returns the successors under all actions, and one tick unless the leader must act first."""
    if len(state.members) > 1 and state.gang1 == "stopped" and not state.decided1:
        return []  # no task can start any more
    steps = leader_steps(state) + fault_steps(state, defect)
    for index in range(len(state.members)):
        steps += exchange_steps(state, index, defect)
        steps += message_steps(state, index, defect)
    after_tick = tick(state, defect)
    if after_tick is not None:
        steps.append(("tick", after_tick))
    return [(label, canonical(after)) for label, after in steps]


INVARIANTS = {
    "one_gang_per_accelerator": lambda d: not any(all(m.running) for m in d["members"]),
    "partial_only_within_bound": lambda d: d["partial_ticks"] <= PARTIAL_BOUND_TICKS,
    "no_start_without_decision": lambda d: d["decided1"]
    or not any(m.running[0] for m in d["members"]),
}

BOUNDS = {
    "leaders": 2,
    "lease_ticks": LEASE_TICKS,
    "drift_ticks": DRIFT_TICKS,
    "drift_margin_ticks": DRIFT_MARGIN_TICKS,
    "election_ticks": ELECTION_TICKS,
    "announcement_ticks": MAX_ANNOUNCEMENT_TICKS,
    "agent_restarts": MAX_RESTARTS,
}


@registered_specification
def gang_start_with_leases() -> Specification:
    """Returns the specification of one gang of two members: the start decision and partial runs."""
    return Specification(
        name="gang_start_with_leases",
        initial=initial_state(members=2),
        successors=successors,
        invariants=INVARIANTS,
        defects=(
            GangDefect.START_BEFORE_DECISION,
            GangDefect.REPLY_DOES_NOT_NAME_TASKS,
            GangDefect.LOST_MEMBER_NOT_STOPPED,
        ),
        bounds={
            **BOUNDS,
            "gangs": 1,
            "members": 2,
            "announcement_ticks": 0,
            "agent_restarts": 0,
            "partial_bound_ticks": PARTIAL_BOUND_TICKS,
        },
    )


@registered_specification
def regrant_with_leases() -> Specification:
    """Returns the specification for two gangs that are granted the same accelerators in turn."""
    return Specification(
        name="regrant_with_leases",
        initial=initial_state(members=1),
        successors=successors,
        invariants=INVARIANTS,
        defects=(
            GangDefect.EARLY_REGRANT_WITHOUT_DRIFT_MARGIN,
            GangDefect.LEASE_FROM_REPLY_RECEIPT,
            GangDefect.MISSING_EPOCH_CHECK,
            GangDefect.STOP_DOES_NOT_RAISE_EPOCH,
            GangDefect.DEPOSED_LEADER_RENEWS,
            GangDefect.NEW_LEADER_ASSUMES_EXPIRED,
            GangDefect.WORKER_LEASE_EXCEEDS_AGENT_LEASE,
            GangDefect.RELATIVE_WORKER_LEASE,
            GangDefect.MISSING_TASK_CONFIRMS_STOP,
        ),
        bounds={**BOUNDS, "gangs": 2, "members": 1},
    )
