"""Handler of calls from other control instances about the replicated log."""

from typing import TYPE_CHECKING

from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import ReplicaAnswer, ReplicaCall
from cicadatray.replication.errors import MessageDecodeError
from cicadatray.replication.message import decode_replica_message, encode_replica_message

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

UNDECODABLE_CODE = "undecodable"


@register_handler(ReplicaCall)
async def answer_replica(daemon: "ControlDaemon", call: ReplicaCall) -> MessageStruct:
    """Passes a message to this instance's replica and returns its reply."""
    try:
        message = decode_replica_message(call.payload)
    except MessageDecodeError as error:
        return Failure(code=UNDECODABLE_CODE, detail=str(error))
    reply = await daemon.replica.handle(message)
    return ReplicaAnswer(payload=encode_replica_message(reply))
