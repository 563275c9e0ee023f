"""Access rules of the calls that submit, read and cancel graphs."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.task_leases import TaskLeases
from cicadatray.internal.control.handler_registry import call_handlers
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.graph_messages import (
    CancelGraph,
    GraphState,
    QueueState,
    QueueTarget,
    ReadGraph,
    ReadQueues,
    SetQueues,
    SubmitGraph,
)
from cicadatray.internal.wire.messages.queue_configuration import (
    Pool,
    Queue,
    QueueAccount,
    QueueConfiguration,
)
from cicadatray.replication.errors import NotLeaderError
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.shared_log import SharedLog
from cover.control.gangs.simulated_control import SimulatedControl
from cover.replication.process_loop import ProcessLoop, end_other_tasks
from cover.taskgraphs.placement_helpers import ONE

OWNER, OTHER, STRANGER = b"o" * 32, b"x" * 32, b"s" * 32
GRAPH = "00000000000000aa"
STEPS = (Step(1, ONE, 1.0),)


def configuration(version: int = 1, renamed: bool = False) -> SetQueues:
    """Returns queues for all tests; with `renamed` the first one has another name and prefix."""
    name = "renamed" if renamed else "q"
    queues = (
        Queue("h", f"/{name}/", QueuePolicy(name, "pool", 1, 3, 2.0, 1.0)),
        Queue("h", "/q/deep/", QueuePolicy("deep", "pool", 1, 3, 2.0, 1.0)),
        Queue("h", "/open/", QueuePolicy("open", "pool", 1, 3, 2.0, 1.0), is_public=True),
        Queue("h", "/open2/", QueuePolicy("open2", "pool", 1, 3, 2.0, 1.0), is_public=True),
    )
    accounts = (QueueAccount("owner", (OWNER,)), QueueAccount("other", (OTHER,)))
    return SetQueues(
        configuration=QueueConfiguration(version, queues, (Pool("pool"),), accounts), source=b"{}"
    )


def ask(*calls: MessageStruct, configured: bool = True) -> list[Any]:
    """Returns the replies of one leader to calls in sequence."""
    loop = ProcessLoop()
    asyncio.set_event_loop(loop)
    log = SharedLog(lambda: None)

    async def main() -> list[Any]:
        control = SimulatedControl("c1", log, LinkLayer(random.Random(1)))
        if configured:
            log.commit(log.state.encode_command(configuration()))
        log.elect("c1")
        await asyncio.sleep(0.5)
        replies = [await control.answer(call) for call in calls]
        await end_other_tasks()
        return replies

    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


def target(path: str, digest: bytes = OWNER) -> QueueTarget:
    return QueueTarget("h", path, digest)


def submit(path: str = f"/q/{GRAPH}", digest: bytes = OWNER) -> SubmitGraph:
    return SubmitGraph(target=target(path, digest), spec="s", steps=STEPS)


@pytest.mark.parametrize(
    ("call", "code"),
    [
        (submit("/none/" + GRAPH), graph_codes.QUEUE_UNKNOWN),
        (submit(digest=STRANGER), graph_codes.CREDENTIAL_UNKNOWN),
        (submit("/q/short"), graph_codes.GRAPH_ID_MALFORMED),
        (ReadGraph(target=target(f"/q/{GRAPH}")), graph_codes.GRAPH_UNKNOWN),
        (CancelGraph(target=target(f"/q/{GRAPH}")), graph_codes.GRAPH_UNKNOWN),
    ],
)
def test_refused_calls(call: MessageStruct, code: str) -> None:
    """A client must be able to tell a wrong credential from a missing queue or graph."""
    (reply,) = ask(call)
    assert isinstance(reply, Failure) and reply.code == code


@pytest.mark.parametrize(
    ("call", "version"),
    [
        (configuration(version=1), 1),
        (configuration(version=2), 1),
        (ReadQueues(), 1),
        (submit(), 1),
        (submit(digest=STRANGER), 1),
        (ReadGraph(target=target(f"/q/{GRAPH}")), 1),
        (ReadGraph(target=target("/q/")), 1),
        (CancelGraph(target=target("/none/")), 1),
    ],
)
def test_replies_name_the_configuration_that_decided(call: MessageStruct, version: int) -> None:
    """Guards against answers of which nobody can tell whether an old configuration decided them."""
    (reply,) = ask(call)
    assert reply.decision == Decision(version=version, term=1, member="c1")


def test_nothing_is_accepted_before_a_configuration() -> None:
    """A missing configuration has its own code, different from that of an unknown queue."""
    (reply,) = ask(submit(), configured=False)
    assert isinstance(reply, Failure) and reply.code == graph_codes.QUEUES_UNSET


@pytest.mark.parametrize("call_type", [ReadGraph, CancelGraph])
@pytest.mark.parametrize(("digest", "is_allowed"), [(OWNER, True), (OTHER, False)])
def test_only_the_owner_reads_and_cancels(call_type: Any, digest: bytes, is_allowed: bool) -> None:
    """Knowledge of an identifier must not suffice to cancel another account's graph."""
    _, reply = ask(submit(), call_type(target=target(f"/q/{GRAPH}", digest)))
    if is_allowed:
        assert isinstance(reply, GraphState)
    else:
        assert isinstance(reply, Failure) and reply.code == graph_codes.ACCOUNT_MISMATCH


def test_same_identifier_is_the_same_graph() -> None:
    """A client that got no answer submits the graph again, which must not create a second one."""
    replies = ask(submit(), submit(), ReadGraph(target=target("/q/")))
    assert replies[0].graph_id == replies[1].graph_id == GRAPH
    assert isinstance(replies[2], QueueState)


def test_identifier_of_another_account_is_refused() -> None:
    """An identifier that another account uses must be refused.

    Answering with the state of the other graph would look like an acceptance, but the submitted
    graph would never run.
    """
    _, reply = ask(submit(), submit(digest=OTHER))
    assert isinstance(reply, Failure) and reply.code == graph_codes.ACCOUNT_MISMATCH


FOUND, NOT_FOUND, FORBIDDEN = "found", graph_codes.GRAPH_UNKNOWN, graph_codes.ACCOUNT_MISMATCH
UNKNOWN = graph_codes.CREDENTIAL_UNKNOWN


@pytest.mark.parametrize(
    ("queue", "owner", "caller_queue", "caller", "result"),
    [
        ("q", OWNER, "q", OWNER, FOUND),
        ("q", OWNER, "q", OTHER, FORBIDDEN),
        ("q", OWNER, "q", b"", UNKNOWN),
        ("q", OWNER, "q/deep", OWNER, NOT_FOUND),
        ("q", OWNER, "q/deep", OTHER, NOT_FOUND),
        ("q", OWNER, "q/deep", b"", UNKNOWN),
        ("q", OWNER, "open", OWNER, NOT_FOUND),
        ("q", OWNER, "open", OTHER, NOT_FOUND),
        ("q", OWNER, "open", b"", NOT_FOUND),
        ("open", OWNER, "open", OWNER, FOUND),
        ("open", OWNER, "open", OTHER, FORBIDDEN),
        ("open", OWNER, "open", b"", FOUND),
        ("open", OWNER, "open2", OWNER, NOT_FOUND),
        ("open", OWNER, "open2", b"", NOT_FOUND),
        ("open", OWNER, "q", OWNER, NOT_FOUND),
        ("open", OWNER, "q", OTHER, NOT_FOUND),
        ("open", OWNER, "q", b"", UNKNOWN),
        ("open", b"", "open", OWNER, FOUND),
        ("open", b"", "open", b"", FOUND),
        ("open", b"", "open2", b"", NOT_FOUND),
        ("open", b"", "q", OWNER, NOT_FOUND),
        ("open", b"", "q", b"", UNKNOWN),
    ],
)
def test_access_to_a_graph_of_another_queue_or_account(
    queue: str, owner: bytes, caller_queue: str, caller: bytes, result: str
) -> None:
    """Guards against reading, cancelling or taking over a graph of another queue or account.

    A refused call must leave the graph as it is, and a refused submission must not look accepted.
    """
    path = f"/{caller_queue}/{GRAPH}"
    first, read, submitted, cancelled, own = ask(
        submit(f"/{queue}/{GRAPH}", owner),
        ReadGraph(target=target(path, caller)),
        submit(path, caller),
        CancelGraph(target=target(path, caller)),
        ReadGraph(target=target(f"/{queue}/{GRAPH}", owner)),
    )
    assert isinstance(first, GraphState)
    if result is FOUND:
        assert read == submitted == first
        assert cancelled.state == own.state == "cancelled"
        return
    assert read.code == cancelled.code == result
    assert submitted.code == (graph_codes.GRAPH_ID_TAKEN if result is NOT_FOUND else result)
    assert own == first


@pytest.mark.parametrize(
    ("owner", "caller", "caller_queue", "is_found"),
    [
        (OWNER, OWNER, "renamed", True),
        (OWNER, OTHER, "renamed", False),
        (OWNER, b"", "open", False),
        (OWNER, OWNER, "open", True),
        (b"", b"", "open", False),
    ],
)
def test_graph_of_a_queue_that_was_renamed(
    owner: bytes, caller: bytes, caller_queue: str, is_found: bool
) -> None:
    """Guards against losing an accepted graph because its queue has another name since."""
    queue = "q" if owner else "open2"
    replies = ask(
        submit(f"/{queue}/{GRAPH}", owner),
        configuration(2, renamed=True),
        ReadGraph(target=target(f"/{caller_queue}/{GRAPH}", caller)),
    )
    found = isinstance(replies[2], GraphState)
    assert found == is_found


def test_longest_prefix_and_public_queue() -> None:
    """The queue with the longest matching prefix is used; a public queue needs no credential."""
    deep, public = ask(ReadGraph(target=target("/q/deep/")), submit(f"/open/{GRAPH}", digest=b""))
    assert isinstance(deep, QueueState)
    assert isinstance(public, GraphState)


def test_older_configuration_changes_nothing() -> None:
    """An older configuration that is sent again is neither refused nor applied."""
    newer, older = ask(configuration(5), configuration(3))
    assert (newer.version, older.version) == (5, 5)


@pytest.mark.parametrize("call", [submit(), CancelGraph(target=target(f"/q/{GRAPH}"))])
def test_committed_call_is_confirmed_when_leadership_ends(call: MessageStruct) -> None:
    """Guards against telling a client that a stored job was not accepted.

    The leader's session ends right after the command was committed. A reply that this instance does
    not lead means that it had no effect.
    """

    async def main() -> None:
        state = ControlState()
        state.graphs.queues = configuration().configuration
        graph = TaskGraph(GRAPH, "owner", state.graphs.queues.queues[0].policy, "s", STEPS)
        if isinstance(call, CancelGraph):
            state.graphs.graphs[GRAPH] = GraphProgress(graph, 0.0)
        has_ended = asyncio.Event()

        async def propose(command: MessageStruct) -> GraphState:
            has_ended.set()
            return GraphState(graph_id=GRAPH, state="queued")

        def require_graph_session(session: Any) -> Any:
            if has_ended.is_set():
                raise NotLeaderError(None)
            return graph_session

        leader: Any = SimpleNamespace(
            state=state, propose=propose, term=1, started_s=0.0, metrics=MetricsRegistry()
        )
        graph_session = GraphSession(leader, TaskLeases(), StartLimits())

        async def require_leader_session() -> Any:
            return leader

        daemon: Any = SimpleNamespace(
            require_leader_session=require_leader_session,
            require_graph_session=require_graph_session,
            metrics=leader.metrics,
            settings=SimpleNamespace(name="c1"),
        )
        assert isinstance(await call_handlers[type(call)](daemon, call), GraphState)

    asyncio.run(main())
