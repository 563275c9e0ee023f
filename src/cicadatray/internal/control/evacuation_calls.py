"""Handlers of operators' calls that evacuate data centres."""

import time
from collections import Counter
from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.evacuation_record import EvacuationRecord
from cicadatray.internal.control.graphs.evacuation_progress import (
    evacuation_progress,
    evacuations_reply,
)
from cicadatray.internal.control.graphs.graph_session import GraphSession
from cicadatray.internal.control.graphs.worker_wakes import wake_all
from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import (
    Evacuation,
    EvacuationsReply,
    OrderEvacuation,
    ReadEvacuations,
    RecordEvacuation,
)

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

log = structlog.get_logger(__name__)


@register_handler(OrderEvacuation)
async def order_evacuation(daemon: "ControlDaemon", call: OrderEvacuation) -> MessageStruct:
    """Evacuates a data centre or takes it back into use, and replies once that is durable."""
    session = await daemon.require_leader_session()
    graph_session = daemon.require_graph_session(session)
    pending = graph_session.pending_evacuations
    # Leadership is confirmed and nothing was awaited since, so this read is linearizable.
    if _changes_nothing(session.state.evacuations, call, pending):
        reply = evacuations_reply(graph_session, call.data_centre, is_repeated=True)
    else:
        pending[call.data_centre] += 1
        committed = await session.propose(RecordEvacuation(order=call, now_s=time.time()))
        # Not reached by a call that fails or is cancelled, whose order may still be committed.
        pending[call.data_centre] -= 1
        if not isinstance(committed, EvacuationsReply):
            return committed
        # The order is durable now, so it must be confirmed even if the session has ended.
        reply = evacuations_reply(graph_session, call.data_centre, committed.is_repeated)
        wake_all(graph_session)
        graph_session.wake.set()
        daemon.notify()
    _log_order(graph_session, call, reply)
    return reply


@register_handler(ReadEvacuations)
async def read_evacuations(daemon: "ControlDaemon", call: ReadEvacuations) -> MessageStruct:
    """Returns the evacuations in force."""
    session = await daemon.require_leader_session()
    return evacuations_reply(daemon.require_graph_session(session))


def _changes_nothing(
    record: EvacuationRecord, call: OrderEvacuation, pending: Counter[str]
) -> bool:
    """Returns whether an order need not be committed.

    An order with a new `operation_id` is committed in any case, so that a late repeat of it is
    recognised after the data centre was returned. So is one that follows a `pending` order for the
    same data centre, because that one may be the opposite and must not take effect after this one.
    """
    if call.operation_id:
        return record.has_operation(call.data_centre, call.operation_id)
    if pending[call.data_centre]:
        return False
    return (call.data_centre in record.active) is call.is_evacuated


def _log_order(graph_session: GraphSession, call: OrderEvacuation, reply: EvacuationsReply) -> None:
    progress = evacuation_progress(graph_session, Evacuation(call.data_centre, 0.0))
    log.info(
        "data centre evacuated" if call.is_evacuated else "data centre returned",
        data_centre=call.data_centre,
        operator=call.operator,
        operation_id=call.operation_id,
        repeated=reply.is_repeated,
        workers=progress.workers,
        runs=progress.runs_left,
        unmet_accounts=list(reply.unmet_accounts),
    )
