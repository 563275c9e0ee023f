"""Calls of entries and agents about task graphs and queues."""

import asyncio
from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.control.graphs.graph_view import view_graph
from cicadatray.internal.control.graphs.task_leases import SYNC_WAIT_S
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.observability.graph_metrics import graphs_accepted
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged, NotLeader
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    CancelGraph,
    EndGraph,
    JoinGroup,
    MemberAddress,
    MembersReply,
    QueuesReply,
    QueueState,
    QueueTarget,
    ReadGraph,
    ReadMembers,
    ReadQueues,
    SetQueues,
    SubmitGraph,
    SyncWorker,
)
from cicadatray.internal.wire.messages.queue_configuration import Queue, QueueAccount
from cicadatray.replication.member import Member
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

GRAPH_ID_DIGITS = 16
HEXADECIMAL = frozenset("0123456789abcdefABCDEF")

log = structlog.get_logger(__name__)


class _Resolved:
    """A queue, the caller's account (None in a public queue) and the rest of the path."""

    __slots__ = ("account", "graph_id", "queue")

    def __init__(self, queue: Queue, account: QueueAccount | None, graph_id: str) -> None:
        self.queue = queue
        self.account = account
        self.graph_id = graph_id


def _resolve(session: LeaderSession, target: QueueTarget) -> "_Resolved | Failure":
    """Finds queue and account in the configuration that this leader has applied."""
    queues = session.state.graphs.queues
    if not queues.version:
        return Failure(code=graph_codes.QUEUES_UNSET, detail="no queues are configured yet")
    queue = queues.find_queue(target.host, target.path)
    if queue is None:
        return Failure(code=graph_codes.QUEUE_UNKNOWN, detail="no queue has this host and path")
    account = queues.find_account(target.credential_digest)
    if account is None and not queue.is_public:
        return Failure(code=graph_codes.CREDENTIAL_UNKNOWN, detail="the credential is not known")
    return _Resolved(queue, account, target.path[len(queue.path_prefix) :])


def _find(found: _Resolved, graphs: dict[str, GraphProgress]) -> GraphProgress | Failure | None:
    """Returns the graph of a call, None when there is none, or why the caller may not have it."""
    known = graphs.get(found.graph_id)
    if known is None or found.account is None:
        return known
    if known.graph.client_account not in ("", found.account.name):
        return Failure(code=graph_codes.ACCOUNT_MISMATCH, detail="another account's graph")
    return known


@register_handler(SubmitGraph)
async def submit_graph(daemon: "ControlDaemon", call: SubmitGraph) -> MessageStruct:
    """Accepts a graph once it is durable."""
    session = await daemon.require_leader_session()
    found = _resolve(session, call.target)
    if isinstance(found, Failure):
        return found
    graph_id = found.graph_id
    if len(graph_id) != GRAPH_ID_DIGITS or not HEXADECIMAL.issuperset(graph_id):
        return Failure(
            code=graph_codes.GRAPH_ID_MALFORMED, detail="an identifier has 16 hexadecimal digits"
        )
    account = found.account.name if found.account else ""
    known = _find(found, session.state.graphs.graphs)
    if known is not None:
        return known if isinstance(known, Failure) else view_graph(known)
    graph = TaskGraph(graph_id, account, found.queue.policy, call.spec, call.steps, call.repetition)
    now_s = daemon.require_graph_session(session).wall_s()
    reply = await session.propose(AcceptGraph(graph=graph, now_s=now_s))
    log.info(
        "graph accepted",
        graph=graph_id,
        queue=found.queue.policy.queue,
        account=account,
        configuration=session.state.graphs.queues.version,
        priority=graph.policy.priority,
        tasks=[step.count for step in call.steps],
        accelerators=[step.needs.accelerators for step in call.steps],
        objective_s=round(graph.objective_s(), 1),
        occurrences=graph.occurrences,
    )
    graphs_accepted(daemon.metrics).increment(queue=found.queue.policy.queue)
    graphs = daemon.require_graph_session(session)
    graphs.journal.begin(graph_id)
    graphs.wake.set()
    return reply


@register_handler(CancelGraph)
async def cancel_graph(daemon: "ControlDaemon", call: CancelGraph) -> MessageStruct:
    """Cancels a graph; what runs of it is stopped."""
    session = await daemon.require_leader_session()
    found = _resolve(session, call.target)
    if isinstance(found, Failure):
        return found
    known = _find(found, session.state.graphs.graphs)
    if known is None or isinstance(known, Failure):
        return known or Failure(code=graph_codes.GRAPH_UNKNOWN, detail="no such graph")
    graphs = daemon.require_graph_session(session)
    # A graph whose acceptance was in doubt has no tally yet.
    graphs.journal.begin(found.graph_id)
    command = EndGraph(graph_id=found.graph_id, now_s=graphs.wall_s())
    reply = await session.propose(command)
    log.info("graph cancelled", graph=found.graph_id)
    graphs.journal.close(found.graph_id)
    graphs.wake_all()
    graphs.wake.set()
    return reply


@register_handler(ReadGraph)
async def read_graph(daemon: "ControlDaemon", call: ReadGraph) -> MessageStruct:
    """Answers with a graph, or with the queue when the path names no graph."""
    session = await daemon.require_leader_session()
    found = _resolve(session, call.target)
    if isinstance(found, Failure):
        return found
    graphs = session.state.graphs.graphs
    if not found.graph_id:
        name = found.queue.policy.queue
        waiting = sum(
            1
            for progress in graphs.values()
            if progress.graph.policy.queue == name and progress.is_active and not progress.has_begun
        )
        return QueueState(waiting=waiting)
    known = _find(found, graphs)
    if known is None or isinstance(known, Failure):
        return known or Failure(code=graph_codes.GRAPH_UNKNOWN, detail="no such graph")
    return view_graph(known)


@register_handler(SetQueues)
async def set_queues(daemon: "ControlDaemon", call: SetQueues) -> MessageStruct:
    """Stores a configuration; one that is not newer than the present one changes nothing."""
    session = await daemon.require_leader_session()
    before = session.state.graphs.queues.version
    if call.configuration.version <= before:
        return QueuesReply(version=before)
    reply = await session.propose(call)
    log.info("queues changed", before=before, version=call.configuration.version)
    return reply


@register_handler(ReadQueues)
async def read_queues(daemon: "ControlDaemon", call: ReadQueues) -> MessageStruct:
    """Answers with the newest configuration."""
    session = await daemon.require_leader_session()
    store = session.state.graphs
    return QueuesReply(version=store.queues.version, source=store.source)


@register_handler(ReadMembers)
async def read_members(daemon: "ControlDaemon", call: ReadMembers) -> MessageStruct:
    """Answers with the members of the control group."""
    session = await daemon.require_leader_session()
    return MembersReply(
        members=tuple(
            MemberAddress(member.member_id, member.host, member.port)
            for member in daemon.replica.members()
        ),
        term=session.term,
        relays=daemon.require_graph_session(session).take_relay(call.relay),
    )


@register_handler(JoinGroup)
async def join_group(daemon: "ControlDaemon", call: JoinGroup) -> MessageStruct:
    """Notes the wish of a control instance; the leader admits it soon after."""
    address = call.member
    daemon.replica.request_join(Member(address.name, address.host, address.port))
    return Acknowledged()


@register_handler(SyncWorker)
async def sync_worker(daemon: "ControlDaemon", call: SyncWorker) -> MessageStruct:
    """Takes up an agent's report and answers with its orders, at the latest after its wait."""
    leader = await daemon.require_leader_session()
    graphs = daemon.require_graph_session(leader)
    session = graphs.take_call(call)
    if session is None:
        await asyncio.sleep(min(call.wait_s, SYNC_WAIT_S))
        return Failure(code=graph_codes.WORKER_UNKNOWN, detail="the agent offers no worker")
    session.calls += 1
    number = session.calls
    deadline_s = graphs.now_s() + min(call.wait_s, SYNC_WAIT_S)
    while True:
        session.wake.clear()
        orders = graphs.orders_for(session)
        is_over = graphs.now_s() >= deadline_s or session.calls != number
        if is_over or session.is_news(orders):
            break
        await _wait(session, deadline_s)
    if (await daemon.require_leader_session()) is not leader:
        return NotLeader()
    if session.is_lost:
        return Failure(code=graph_codes.WORKER_UNKNOWN, detail="the worker was given up")
    session.told = orders
    session.answered_s = graphs.now_s()
    return orders


async def _wait(session: WorkerSession, deadline_s: float) -> None:
    try:
        async with asyncio.timeout_at(deadline_s):
            await session.wake.wait()
    except TimeoutError:
        pass
