"""Messages between the leader and agents in the specifications of gangs under leases."""

from collections.abc import Iterator

from cicadatray.internal.models.gang_state import (
    GRANT_TICKS,
    LEASE_TICKS,
    LONGEST_LEASE_TICKS,
    NO_EXCHANGE,
    Exchange,
    GangDefect,
    GangMember,
    GangState,
    with_member,
)
from cicadatray.internal.models.specification import Successors


def grant_ticks(defect: GangDefect | None) -> int:
    """Returns the ticks after a renewal before the leader considers a lease expired."""
    omits_margin = defect is GangDefect.EARLY_REGRANT_WITHOUT_DRIFT_MARGIN
    return LEASE_TICKS if omits_margin else GRANT_TICKS


def active_epoch(state: GangState, index: int) -> int:
    """Returns the epoch that may continue on a member according to the log, 0 for none."""
    if state.gang1 != "stopped":
        return 1
    return 2 if index == 0 and state.gang2 != "none" else 0


def receive_announcement(state: GangState, index: int, defect: GangDefect | None) -> GangState:
    """Returns the state after the leader counts the lease from now and replies to a member."""
    member = state.members[index]
    announced_epoch = member.exchange.epoch
    epoch = active_epoch(state, index)
    started = state.gang1 == "started" if epoch == 1 else state.gang2 == "started"
    reply = Exchange("replied", member.exchange.age, epoch, epoch or 2, started)
    after = with_member(state, index, member._replace(exchange=reply))
    if epoch == 1:
        grants = list(state.grants)
        grants[index] = grant_ticks(defect)
        lost = state.member_lost or (started and announced_epoch != 1)
        after = after._replace(grants=tuple(grants), member_lost=lost)
    elif index == 0 and announced_epoch != 1 and defect is GangDefect.MISSING_TASK_CONFIRMS_STOP:
        after = after._replace(stop_confirmed=True)
    return after


def receive_reply(member: GangMember, defect: GangDefect | None) -> GangMember:
    """Returns the member with its lease counted from its announcement and the reply applied."""
    reply = member.exchange
    age = 0 if defect is GangDefect.LEASE_FROM_REPLY_RECEIPT else reply.age
    lease = max(member.lease, LONGEST_LEASE_TICKS - age)
    running = list(member.running)
    held = member.held
    floor = max(member.floor, reply.floor)
    if defect is GangDefect.REPLY_DOES_NOT_NAME_TASKS:
        floor = member.floor
    elif held and held < floor:
        running[held - 1] = 0
        held = 0
    elif held == reply.epoch and held and reply.started:
        running[held - 1] = lease
    if held and running[held - 1]:
        running[held - 1] = lease
    return member._replace(
        lease=lease,
        floor=floor,
        held=held,
        running=(running[0], running[1]),
        exchange=NO_EXCHANGE,
    )


def announce(state: GangState, index: int, defect: GangDefect | None) -> Successors:
    """Returns the step that sends a new announcement; an earlier one in transit is lost.

    With several members, the leader receives an announcement in the tick in which it was sent,
    which limits the state space; the reply may be late.
    """
    member = state.members[index]
    sent = Exchange("announced", 0, member.held, 0, False)
    announced = with_member(state, index, member._replace(exchange=sent))
    if len(state.members) == 1:
        return [(f"announce_{index}", announced)]
    if state.leader_acts:
        received = receive_announcement(announced, index, defect)
        return [(f"announce_and_reply_{index}", received)]
    return []


def exchange_steps(state: GangState, index: int, defect: GangDefect | None) -> Successors:
    """Returns the steps that send or deliver announcements and replies."""
    member = state.members[index]
    steps = announce(state, index, defect)
    if member.exchange.stage == "replied":
        renewed = receive_reply(member, defect)
        steps.append((f"agent_renews_{index}", with_member(state, index, renewed)))
    if member.exchange.stage == "announced" and state.leader_acts:
        received = receive_announcement(state, index, defect)
        steps.append((f"leader_replies_{index}", received))
    if member.exchange.stage == "announced" and state.deposed_view:
        started = state.deposed_view == "started"
        reply = Exchange("replied", member.exchange.age, 1, 1, started)
        renewed = member._replace(exchange=reply)
        steps.append((f"deposed_leader_replies_{index}", with_member(state, index, renewed)))
    return steps


def accepts(member: GangMember, epoch: int, defect: GangDefect | None) -> bool:
    """Returns whether the agent accepts a message for an epoch."""
    is_accepted_epoch = epoch >= member.floor or defect is GangDefect.MISSING_EPOCH_CHECK
    return bool(member.lease) and is_accepted_epoch


def prepare(
    state: GangState, index: int, epoch: int, defect: GangDefect | None
) -> Iterator[GangState]:
    """Yields the states after `PrepareTask` reserved the task, with the reply lost or delivered."""
    member = state.members[index]
    if not accepts(member, epoch, defect) or member.held > epoch:
        return
    reserved = with_member(
        state, index, member._replace(held=epoch, floor=max(member.floor, epoch))
    )
    yield reserved
    if state.leader_acts:
        if epoch == 2:
            yield reserved._replace(prepared2=True)
            return
        prepared = list(state.prepared1)
        prepared[index] = True
        yield reserved._replace(prepared1=tuple(prepared))


def start(state: GangState, index: int, epoch: int, defect: GangDefect | None) -> GangState | None:
    """Applies `StartTask`: the agent starts the reserved task, until its own lease ends."""
    member = state.members[index]
    if not accepts(member, epoch, defect) or member.held != epoch:
        return None
    if defect is GangDefect.RELATIVE_WORKER_LEASE and epoch == 1:
        return with_member(state, index, member._replace(in_flight=member.lease))
    ticks = member.lease
    if defect is GangDefect.WORKER_LEASE_EXCEEDS_AGENT_LEASE:
        ticks = LONGEST_LEASE_TICKS
    running = list(member.running)
    running[epoch - 1] = ticks
    return with_member(state, index, member._replace(running=(running[0], running[1])))


def stop(state: GangState, index: int, defect: GangDefect | None) -> Iterator[GangState]:
    """Yields the states after `StopTask` of gang 1, with the confirmation lost or delivered."""
    member = state.members[index]
    new_floor = 1 if defect is GangDefect.STOP_DOES_NOT_RAISE_EPOCH else 2
    stopped = member._replace(
        floor=max(member.floor, new_floor),
        held=0 if member.held == 1 else member.held,
        running=(0, member.running[1]),
        in_flight=0,
    )
    after = with_member(state, index, stopped)
    yield after
    if state.leader_acts and index == 0:
        yield after._replace(stop_confirmed=True)


def message_steps(state: GangState, index: int, defect: GangDefect | None) -> Successors:
    """Returns the steps that deliver messages of the current or an earlier leader to a member."""
    steps: Successors = [(f"prepare1_{index}", s) for s in prepare(state, index, 1, defect)]
    starts_undecided = defect is GangDefect.START_BEFORE_DECISION and all(state.prepared1)
    started = start(state, index, 1, defect) if state.decided1 or starts_undecided else None
    if started:
        steps.append((f"start1_{index}", started))
    if state.gang1 == "stopped":
        steps += [(f"stop1_{index}", s) for s in stop(state, index, defect)]
    if index == 0 and state.gang2 != "none":
        steps += [("prepare2_0", s) for s in prepare(state, 0, 2, defect)]
        started = start(state, 0, 2, defect) if state.gang2 == "started" else None
        if started:
            steps.append(("start2_0", started))
    member = state.members[index]
    if member.in_flight:
        running = (member.in_flight, member.running[1])
        started_member = member._replace(running=running, in_flight=0)
        steps.append((f"worker_starts1_{index}", with_member(state, index, started_member)))
    return steps
