"""Calls of operators about the state and the members of the control group."""

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
    """Answers with the state dump of this instance, whether it leads or not."""
    return TextReply(text=daemon.dump.render().decode())


@register_handler(ReadMetrics)
async def read_metrics(daemon: "ControlDaemon", call: ReadMetrics) -> MessageStruct:
    """Answers with the metrics of this instance."""
    return TextReply(text=daemon.metrics.render_text())


@register_handler(ChangeMember)
async def change_member(daemon: "ControlDaemon", call: ChangeMember) -> MessageStruct:
    """Changes the group by one member; a repeated change that is in effect succeeds."""
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
