"""Handlers of operators' calls for diagnostics and membership changes."""

from typing import TYPE_CHECKING

from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.diagnostic_messages import (
    ChangeMember,
    MemberAction,
    ReadDump,
    ReadMetrics,
    TextReply,
)
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.replication.errors import MembershipChangeError
from cicadatray.replication.member import Member

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

MEMBERSHIP_CODE = "membership_refused"


@register_handler(ReadDump)
async def read_dump(daemon: "ControlDaemon", call: ReadDump) -> MessageStruct:
    """Returns the state dump of this instance, whether it leads or not."""
    return TextReply(text=daemon.dump.render().decode())


@register_handler(ReadMetrics)
async def read_metrics(daemon: "ControlDaemon", call: ReadMetrics) -> MessageStruct:
    """Returns the metrics of this instance in the text exposition format."""
    return TextReply(text=daemon.metrics.render_text())


@register_handler(ChangeMember)
async def change_member(daemon: "ControlDaemon", call: ChangeMember) -> MessageStruct:
    """Adds, promotes or removes one member; a change that is already in effect succeeds."""
    await daemon.require_leader_session()
    try:
        if call.action is MemberAction.ADD:
            await daemon.replica.add_learner(Member(call.name, call.host, call.port))
        elif call.action is MemberAction.PROMOTE:
            await daemon.replica.promote(call.name)
        else:
            await daemon.replica.remove(call.name)
    except MembershipChangeError as error:
        return Failure(code=MEMBERSHIP_CODE, detail=str(error), retry_after_s=1.0)
    return Acknowledged()
