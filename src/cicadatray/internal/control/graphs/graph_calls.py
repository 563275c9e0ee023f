"""Handlers for calls of entries and agents about task graphs and queues."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from cicadatray.internal.control.graphs import graph_codes
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.graph_store import GraphStore
from cicadatray.internal.control.graphs.graph_view import view_graph
from cicadatray.internal.control.graphs.lease_renewal import confirm_renewal
from cicadatray.internal.control.graphs.pool_capacities import objective_of
from cicadatray.internal.control.graphs.queue_calls import decide
from cicadatray.internal.control.graphs.task_leases import SYNC_WAIT_S
from cicadatray.internal.control.graphs.worker_session import WorkerSession
from cicadatray.internal.control.graphs.worker_wakes import wake_workers_of
from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.observability.graph_metrics import graphs_accepted
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.messages.graph_messages import (
    AcceptGraph,
    CancelGraph,
    EndGraph,
    QueueState,
    QueueTarget,
    ReadGraph,
    SubmitGraph,
    SyncWorker,
)
from cicadatray.internal.wire.messages.queue_configuration import Queue, QueueAccount
from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

GRAPH_ID_DIGITS = 16
HEXADECIMAL = frozenset("0123456789abcdefABCDEF")

log = structlog.get_logger(__name__)


class _ResolvedTarget:
    """The queue of a call, the caller's account and the graph identifier.

    `account` is None for an unknown credential in a public queue. `graph_id` is the rest of the
    path after the prefix of the queue, and may be empty or malformed.
    """

    __slots__ = ("account", "graph_id", "queue")

    def __init__(self, queue: Queue, account: QueueAccount | None, graph_id: str) -> None:
        self.queue = queue
        self.account = account
        self.graph_id = graph_id


def _resolve(session: LeaderSession, target: QueueTarget) -> "_ResolvedTarget | Failure":
    """Resolves a target with the configuration that this leader has applied."""
    queues = session.state.graphs.queues
    if not queues.version:
        return Failure(code=graph_codes.QUEUES_UNSET, detail="no queues are configured yet")
    queue = queues.find_queue(target.host, target.path)
    if queue is None:
        return Failure(code=graph_codes.QUEUE_UNKNOWN, detail="no queue has this host and path")
    account = queues.find_account(target.credential_digest)
    if account is None and not queue.is_public:
        return Failure(code=graph_codes.CREDENTIAL_UNKNOWN, detail="unknown credential")
    return _ResolvedTarget(queue, account, target.path[len(queue.path_prefix) :])


def _find_graph(resolved: _ResolvedTarget, store: GraphStore) -> GraphProgress | Failure | None:
    """Returns the graph of a call, None if it does not exist, or the failure to reply with.

    A graph is found in its own queue only, there by its account, and in a public queue also by
    callers without an account. If the configuration has no queue of that name any more, because it
    was renamed or removed, the graph is found in any queue by its account.
    """
    progress = store.graphs.get(resolved.graph_id)
    if progress is None:
        return None
    graph = progress.graph
    account = resolved.account.name if resolved.account is not None else ""
    if graph.policy.queue != resolved.queue.policy.queue:
        is_queue_gone = not store.queues.has_queue(graph.policy.queue)
        return progress if is_queue_gone and graph.client_account == account else None
    if resolved.account is not None and graph.client_account not in ("", account):
        return Failure(
            code=graph_codes.ACCOUNT_MISMATCH, detail="the graph belongs to another account"
        )
    return progress


def _find_submitted_graph(
    resolved: _ResolvedTarget, store: GraphStore
) -> GraphProgress | Failure | None:
    """Returns the graph that a submission repeats, None if its identifier is not in use.

    Returns a failure if the identifier belongs to a graph that the caller cannot reach.
    """
    existing = _find_graph(resolved, store)
    if existing is None and resolved.graph_id in store.graphs:
        return Failure(
            code=graph_codes.GRAPH_ID_TAKEN,
            detail="the identifier belongs to a graph of another queue; this one was not accepted",
        )
    return existing


@register_handler(SubmitGraph)
async def submit_graph(daemon: "ControlDaemon", call: SubmitGraph) -> MessageStruct:
    """Stores a graph and replies once it is durable; does not replace an existing graph."""
    session = await daemon.require_leader_session()
    # Taken before anything is awaited: a later configuration has not decided this call.
    decision = decide(daemon, session)
    reply = await _submit_graph(daemon, session, call, decision)
    return msgspec.structs.replace(reply, decision=decision)


async def _submit_graph(
    daemon: "ControlDaemon", session: LeaderSession, call: SubmitGraph, decision: Decision
) -> MessageStruct:
    resolved = _resolve(session, call.target)
    if isinstance(resolved, Failure):
        return resolved
    graph_id = resolved.graph_id
    if len(graph_id) != GRAPH_ID_DIGITS or not HEXADECIMAL.issuperset(graph_id):
        return Failure(
            code=graph_codes.GRAPH_ID_MALFORMED,
            detail="a graph identifier must have 16 hexadecimal digits",
        )
    account = resolved.account.name if resolved.account else ""
    existing = _find_submitted_graph(resolved, session.state.graphs)
    if existing is not None:
        return existing if isinstance(existing, Failure) else view_graph(existing)
    graph = TaskGraph(
        graph_id, account, resolved.queue.policy, call.spec, call.steps, call.repetition
    )
    graph_session = daemon.require_graph_session(session)
    admission = graph_session.admission
    refusal = admission.refuse(graph)
    if refusal is not None:
        return refusal
    admission.pending_graphs[graph_id] = graph
    reply = await session.propose(AcceptGraph(graph=graph, now_s=graph_session.wall_s()))
    admission.pending_graphs.pop(graph_id, None)
    # The graph is durable now, so the call must be confirmed even if the session has ended.
    _log_accepted(graph_session, graph, decision)
    graphs_accepted(daemon.metrics).increment(queue=resolved.queue.policy.queue)
    graph_session.statistics.track(graph_id)
    graph_session.wake.set()
    return reply


def _log_accepted(session: GraphSession, graph: TaskGraph, decision: Decision) -> None:
    log.info(
        "graph accepted",
        graph=graph.graph_id,
        queue=graph.policy.queue,
        account=graph.client_account,
        configuration=decision.version,
        term=decision.term,
        priority=graph.policy.priority,
        tasks=[step.count for step in graph.steps],
        accelerators=[step.needs.accelerators for step in graph.steps],
        objective_s=round(objective_of(session, graph), 1),
        occurrences=graph.occurrences,
    )


def _is_pending(resolved: _ResolvedTarget, session: GraphSession) -> bool:
    """Returns whether a graph that the caller may cancel is about to be stored."""
    pending = session.admission.pending_graphs.get(resolved.graph_id)
    if pending is None or pending.policy.queue != resolved.queue.policy.queue:
        return False
    account = resolved.account.name if resolved.account is not None else ""
    return resolved.account is None or pending.client_account in ("", account)


@register_handler(CancelGraph)
async def cancel_graph(daemon: "ControlDaemon", call: CancelGraph) -> MessageStruct:
    """Cancels a graph and stops its runs."""
    session = await daemon.require_leader_session()
    decision = decide(daemon, session)
    reply = await _cancel_graph(daemon, session, call)
    return msgspec.structs.replace(reply, decision=decision)


async def _cancel_graph(
    daemon: "ControlDaemon", session: LeaderSession, call: CancelGraph
) -> MessageStruct:
    resolved = _resolve(session, call.target)
    if isinstance(resolved, Failure):
        return resolved
    progress = _find_graph(resolved, session.state.graphs)
    if isinstance(progress, Failure):
        return progress
    graph_session = daemon.require_graph_session(session)
    if progress is None and not _is_pending(resolved, graph_session):
        return Failure(code=graph_codes.GRAPH_UNKNOWN, detail="no such graph")
    # A graph whose acceptance was uncertain is not tracked yet.
    graph_session.statistics.track(resolved.graph_id)
    # The log applies it after the acceptance of a pending graph.
    command = EndGraph(graph_id=resolved.graph_id, now_s=graph_session.wall_s())
    reply = await session.propose(command)
    if isinstance(reply, Failure):
        return reply
    log.info("graph cancelled", graph=resolved.graph_id, was_pending=progress is None)
    graph_session.statistics.log_if_ended(resolved.graph_id)
    wake_workers_of(graph_session, {resolved.graph_id})
    graph_session.wake.set()
    return reply


@register_handler(ReadGraph)
async def read_graph(daemon: "ControlDaemon", call: ReadGraph) -> MessageStruct:
    """Returns the state of a graph, or of the queue when the path names no graph."""
    session = await daemon.require_leader_session()
    decision = decide(daemon, session)
    reply = _read_graph(daemon, session, call)
    return msgspec.structs.replace(reply, decision=decision)


def _read_graph(daemon: "ControlDaemon", session: LeaderSession, call: ReadGraph) -> MessageStruct:
    resolved = _resolve(session, call.target)
    if isinstance(resolved, Failure):
        return resolved
    if not resolved.graph_id:
        unbegun = daemon.require_graph_session(session).unbegun
        return QueueState(waiting=unbegun.count(resolved.queue.policy.queue))
    requested = _find_graph(resolved, session.state.graphs)
    if requested is None or isinstance(requested, Failure):
        return requested or Failure(code=graph_codes.GRAPH_UNKNOWN, detail="no such graph")
    return view_graph(requested)


@register_handler(SyncWorker)
async def sync_worker(daemon: "ControlDaemon", call: SyncWorker) -> MessageStruct:
    """Records an agent's report and returns the orders for its worker.

    The reply is sent as soon as there are new orders or the agent has called again, and at the
    latest after `wait_s`, which is limited to `SYNC_WAIT_S`.
    """
    leader = await daemon.require_leader_session()
    graph_session = daemon.require_graph_session(leader)
    worker = graph_session.handle_sync(call)
    if worker is None:
        await asyncio.sleep(min(call.wait_s, SYNC_WAIT_S))
        return Failure(code=graph_codes.WORKER_UNKNOWN, detail="the agent offers no worker")
    worker.call_count += 1
    call_number = worker.call_count
    deadline_s = graph_session.now_s() + min(call.wait_s, SYNC_WAIT_S)
    while True:
        worker.wake.clear()
        orders = graph_session.orders_for(worker)
        must_answer = graph_session.now_s() >= deadline_s or worker.call_count != call_number
        if must_answer or worker.has_new_orders(orders):
            break
        await _wait(worker, deadline_s)
    had_silence = graph_session.has_silence(worker.offer.worker_id)
    if not await confirm_renewal(daemon, leader, graph_session, worker):
        return NotLeader()
    if worker.is_lost:
        return Failure(code=graph_codes.WORKER_UNKNOWN, detail="the worker was declared lost")
    if had_silence or (orders.starts and graph_session.is_evacuated(worker)):
        # Clearing a silence takes a commit, during which runs may have ended. In the other case an
        # evacuation was committed while leadership was confirmed.
        orders = graph_session.orders_for(worker)
    worker.last_orders = orders
    worker.last_reply_s = graph_session.now_s()
    return orders


async def _wait(worker: WorkerSession, deadline_s: float) -> None:
    try:
        async with asyncio.timeout_at(deadline_s):
            await worker.wake.wait()
    except TimeoutError:
        pass
