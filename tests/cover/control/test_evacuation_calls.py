"""Orders to evacuate data centres while the leader changes, and what operators are told."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cicadatray.internal.control.control_description import describe_control
from cicadatray.internal.control.leases import AGENT_TIMEOUT_S
from cicadatray.internal.wire.message import IN_DOUBT_CODE, Failure, MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import ChangeConfiguration
from cicadatray.internal.wire.messages.directory_messages import AgentRecord, Announce, NotLeader
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationsReply,
    OrderEvacuation,
    ReadEvacuations,
    RecordEvacuation,
)
from cicadatray.internal.wire.messages.graph_messages import (
    QueueTarget,
    SetQueues,
    SubmitGraph,
    SyncWorker,
    WorkerOffer,
    WorkerOrders,
)
from cicadatray.internal.wire.messages.queue_configuration import (
    Pool,
    Queue,
    QueueAccount,
    QueueConfiguration,
)
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.shared_log import ROUND_TRIP_S, SharedLog
from cover.control.gangs.simulated_control import SimulatedControl
from cover.replication.process_loop import ProcessLoop, end_other_tasks
from scheduling_helpers import data_centres, rules

NAMES = ("c1", "c2")


class Group:
    """Two control instances on one log; the first one leads."""

    def __init__(self) -> None:
        self.log = SharedLog(lambda: None)
        layer = LinkLayer(random.Random(1))
        self.controls = {name: SimulatedControl(name, self.log, layer) for name in NAMES}

    async def elect(self, name: str) -> None:
        """Makes an instance the leader and waits until it acts."""
        self.log.elect(name)
        await asyncio.sleep(1.0)

    async def order(
        self, name: str, data_centre: str, is_evacuated: bool, operation_id: str = ""
    ) -> MessageStruct:
        """Returns the reply of an instance to an order."""
        call = OrderEvacuation(
            data_centre=data_centre, is_evacuated=is_evacuated, operation_id=operation_id
        )
        return await self.controls[name].answer(call)

    def active(self) -> set[str]:
        """Returns the evacuations in the log."""
        return set(self.log.state.evacuations.active)


def run_group(scenario: Callable[[Group], Awaitable[None]]) -> None:
    loop = ProcessLoop()
    asyncio.set_event_loop(loop)

    async def main() -> None:
        group = Group()
        await group.elect("c1")
        await scenario(group)
        await end_other_tasks()

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


def names(reply: MessageStruct) -> set[str]:
    assert isinstance(reply, EvacuationsReply), reply
    return {progress.evacuation.data_centre for progress in reply.evacuations}


# The leader confirms its leadership in two delays of the group before it proposes the order.
@pytest.mark.parametrize(
    ("cut_after_s", "is_committed"),
    [(0.5 * ROUND_TRIP_S, False), (2.5 * ROUND_TRIP_S, False), (3.5 * ROUND_TRIP_S, True)],
    ids=["before the proposal", "before the commit", "before the answer"],
)
def test_leader_lost_during_an_order(cut_after_s: float, is_committed: bool) -> None:
    """Guards against a confirmation without a commit, and a repeat that is not confirmed."""

    async def scenario(group: Group) -> None:
        order = asyncio.create_task(group.order("c1", "north", True))
        await asyncio.sleep(cut_after_s)
        group.log.cut_members.add("c1")
        await group.elect("c2")
        assert group.active() == ({"north"} if is_committed else set())
        reply = await order
        assert isinstance(reply, Failure | NotLeader)
        assert isinstance(reply, NotLeader) or reply.code == IN_DOUBT_CODE
        repeated = await group.order("c2", "north", True)
        assert isinstance(repeated, EvacuationsReply)
        assert (names(repeated), repeated.is_repeated) == ({"north"}, is_committed)
        assert group.active() == {"north"}

    run_group(scenario)


def test_isolated_former_leader_confirms_nothing() -> None:
    """Guards against a repeat that a former leader confirms by its old copy of the state."""

    async def scenario(group: Group) -> None:
        assert names(await group.order("c1", "north", True)) == {"north"}
        group.log.cut_members.add("c1")
        await group.elect("c2")
        assert names(await group.order("c2", "north", False)) == set()
        assert "north" in group.controls["c1"].state.evacuations.active
        assert isinstance(await group.order("c1", "north", True), NotLeader)
        assert group.active() == set()

    run_group(scenario)


@pytest.mark.parametrize(
    ("orders", "active", "is_repeated", "commits"),
    [
        ([("a", True, "")], {"a"}, False, 1),
        ([("a", True, ""), ("a", True, "")], {"a"}, True, 1),
        ([("a", True, "1"), ("a", True, "1")], {"a"}, True, 1),
        ([("a", True, "1"), ("a", True, "2")], {"a"}, True, 2),
        ([("a", False, "")], set(), True, 0),
        ([("a", True, "1"), ("a", True, "2"), ("a", False, "3"), ("a", True, "2")], set(), True, 3),
        ([("a", True, ""), ("b", True, ""), ("a", False, "")], {"b"}, False, 3),
    ],
    ids=[
        "first",
        "repeated",
        "repeated operation",
        "another operation",
        "nothing to withdraw",
        "late operation",
        "one of two withdrawn",
    ],
)
def test_orders_without_an_effect_are_not_committed(
    orders: list[tuple[str, bool, str]], active: set[str], is_repeated: bool, commits: int
) -> None:
    """Guards against a log that grows by repeats, and a late repeat that is taken for an order."""

    async def scenario(group: Group) -> None:
        before = len(group.log.commands)
        replies = [await group.order("c1", *order) for order in orders]
        assert names(replies[-1]) == group.active() == active
        assert isinstance(replies[-1], EvacuationsReply)
        assert replies[-1].is_repeated is is_repeated
        assert len(group.log.commands) - before == commits

    run_group(scenario)


@pytest.mark.parametrize("last", [True, False], ids=["evacuation last", "withdrawal last"])
def test_order_after_an_uncommitted_opposite_one_is_the_last(last: bool) -> None:
    """Guards against a confirmed order that an earlier, slower one undoes.

    The operator got no answer in time to the first order, whose commit is slow, and sends the
    opposite one.
    """

    async def scenario(group: Group) -> None:
        if last:
            await group.order("c1", "north", True)
        earlier = asyncio.create_task(group.order("c1", "north", not last))
        await asyncio.sleep(0.5 * ROUND_TRIP_S)
        reply = await group.order("c1", "north", last)
        await earlier
        assert names(reply) == group.active() == ({"north"} if last else set())

    run_group(scenario)


def announce(
    group: Group, number: int, data_centre: str, sequence: int = 1
) -> Awaitable[MessageStruct]:
    offer = WorkerOffer(f"w{number}", "pool", data_centre, "r", ("a",), Resources(8000, 8000, 8))
    return group.controls["c1"].answer(
        SyncWorker(agent_id=f"a{number}", agent_incarnation="one", sequence=sequence, offer=offer)
    )


# The leader confirms its leadership in two delays of the group, reads the orders for the agent, and
# confirms its leadership again before it replies.
@pytest.mark.parametrize(
    ("commit_after_s", "has_starts"),
    [(1.5 * ROUND_TRIP_S, False), (3.0 * ROUND_TRIP_S, False), (6.0 * ROUND_TRIP_S, True)],
    ids=["before the orders", "between the orders and the reply", "after the reply"],
)
def test_reply_after_the_commit_has_no_starts(commit_after_s: float, has_starts: bool) -> None:
    """Guards against starts that a leader chose before it applied the order and sends after it."""

    async def scenario(group: Group) -> None:
        queue = Queue("h", "/q/", QueuePolicy("q", "pool", 1, 3, 2.0, 1.0), is_public=True)
        configuration = QueueConfiguration(1, (queue,), (Pool("pool"),))
        queues = SetQueues(configuration=configuration, source=b"{}")
        group.log.commit(group.log.state.encode_command(queues))
        await announce(group, 0, "north")
        target = QueueTarget("h", "/q/00000000000000aa", b"")
        steps = (Step(1, Resources(1000, 1000, 1), 1.0),)
        await group.controls["c1"].answer(SubmitGraph(target=target, spec="", steps=steps))
        await asyncio.sleep(0.5)
        sync = asyncio.ensure_future(announce(group, 0, "north", sequence=2))
        await asyncio.sleep(commit_after_s)
        command = RecordEvacuation(
            order=OrderEvacuation(data_centre="north", is_evacuated=True), now_s=time.time()
        )
        group.log.commit(group.log.state.encode_command(command))
        reply = await sync
        assert isinstance(reply, WorkerOrders)
        assert (len(reply.starts), len(reply.stops)) == ((1, 0) if has_starts else (0, 1))

    run_group(scenario)


@pytest.mark.parametrize(
    ("evacuated", "unmet"),
    [((), ()), (("north",), ()), (("north", "south"), ("one", "two")), (("north", "mars"), ())],
    ids=["none", "the rest suffices", "nothing is left", "no workers there"],
)
def test_accounts_whose_guarantees_do_not_fit_are_named(
    evacuated: tuple[str, ...], unmet: tuple[str, ...]
) -> None:
    """Guards against an operator who does not learn which callers an order affects."""

    async def scenario(group: Group) -> None:
        accounts = (QueueAccount("one", (), 6), QueueAccount("two", (), 2), QueueAccount("three"))
        configuration = QueueConfiguration(1, (), (), accounts)
        queues = SetQueues(configuration=configuration, source=b"{}")
        group.log.commit(group.log.state.encode_command(queues))
        for number, data_centre in enumerate(("north", "south")):
            await announce(group, number, data_centre)
        reply: Any = None
        for data_centre in evacuated:
            reply = await group.order("c1", data_centre, True)
            assert reply.is_announced is (data_centre != "mars")
        read = await group.controls["c1"].answer(ReadEvacuations())
        assert isinstance(read, EvacuationsReply)
        assert read.unmet_accounts == unmet
        assert reply is None or reply.unmet_accounts == unmet
        workers = {p.evacuation.data_centre: p.workers for p in read.evacuations}
        assert workers == {name: int(name != "mars") for name in evacuated}

    run_group(scenario)


@pytest.mark.parametrize(
    ("evacuated", "unmet"),
    [((), ()), (("d0",), ("large",)), (("d1",), ()), (("d0", "d1"), ("large", "small"))],
    ids=["none", "the large block", "capacity is left", "nothing is left"],
)
def test_accounts_whose_shape_guarantees_do_not_fit_are_named(
    evacuated: tuple[str, ...], unmet: tuple[str, ...]
) -> None:
    """Guards against an operator who learns too late, or wrongly, whom an order affects.

    The block of the large account fits only into d0, and the block of the small one anywhere. A new
    leader names nobody before the agents had time to announce themselves.
    """

    async def scenario(group: Group) -> None:
        inventory = data_centres(((8, 8, 8),), ((8,),))
        guarantees = rules(("large", "16r", 1), ("small", "4w", 1), large="8w")
        documents: Any = ({"inventory": inventory}, {"rules": guarantees})
        for version, document in enumerate(documents):
            change = ChangeConfiguration(
                operation_id=str(version), operator="o", replaces_version=version, **document
            )
            group.log.commit(group.log.state.encode_command(change))
        for data_centre in evacuated:
            await group.order("c1", data_centre, True)
        for leader in NAMES:
            await group.elect(leader)
            read = await group.controls[leader].answer(ReadEvacuations())
            assert isinstance(read, EvacuationsReply) and read.unmet_accounts == ()
            for worker in inventory.workers:
                agent = AgentRecord(
                    worker.worker_id, "one", "host", 1, worker.data_centre, "", 1, worker.worker_id
                )
                await group.controls[leader].answer(Announce(agent=agent))
            await asyncio.sleep(AGENT_TIMEOUT_S)
            repeated = await group.order(leader, "d0", "d0" in evacuated)
            read = await group.controls[leader].answer(ReadEvacuations())
            for reply in (repeated, read):
                assert isinstance(reply, EvacuationsReply)
                assert reply.unmet_accounts == unmet
        for data_centre in evacuated:
            reply = await group.order(NAMES[-1], data_centre, False)
            assert isinstance(reply, EvacuationsReply)
        assert reply.unmet_accounts == ()

    run_group(scenario)


def test_dump_lists_evacuations() -> None:
    """Guards against an operator who cannot see from a dump why nothing starts."""

    async def scenario(group: Group) -> None:
        await group.order("c1", "north", True)
        replica: Any = None
        description = describe_control(group.controls["c2"].state, replica, None)
        assert [evacuation.data_centre for evacuation in description.evacuations] == ["north"]

    run_group(scenario)
