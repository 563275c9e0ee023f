"""Handlers for calls of operators about the queue configuration."""

from typing import TYPE_CHECKING

import msgspec
import structlog

from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.observability.document_digest import digest_document
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.decision import Decision
from cicadatray.internal.wire.messages.graph_messages import QueuesReply, ReadQueues, SetQueues

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

log = structlog.get_logger(__name__)


def decide(daemon: "ControlDaemon", session: LeaderSession) -> Decision:
    """Returns which configuration decides a call that is handled now."""
    return Decision(session.state.graphs.queues.version, session.term, daemon.settings.name)


@register_handler(SetQueues)
async def set_queues(daemon: "ControlDaemon", call: SetQueues) -> MessageStruct:
    """Stores a queue configuration, unless the current one has the same or a higher version."""
    session = await daemon.require_leader_session()
    decision = decide(daemon, session)
    if call.configuration.version <= decision.version:
        return QueuesReply(version=decision.version, decision=decision)
    reply = await session.propose(call)
    log.info(
        "queues changed",
        before=decision.version,
        version=call.configuration.version,
        term=decision.term,
        digest=digest_document(call.source),
    )
    return msgspec.structs.replace(reply, decision=decision)


@register_handler(ReadQueues)
async def read_queues(daemon: "ControlDaemon", call: ReadQueues) -> MessageStruct:
    """Returns the newest queue configuration."""
    session = await daemon.require_leader_session()
    store = session.state.graphs
    return QueuesReply(
        version=store.queues.version, source=store.source, decision=decide(daemon, session)
    )
