"""Handlers for calls about the members of the control group and the relays to it."""

from typing import TYPE_CHECKING

import structlog

from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import (
    AnnounceMembers,
    JoinGroup,
    MemberAddress,
    MembersReply,
    ReadMembers,
    RecordRendezvous,
)
from cicadatray.replication.member import Member

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

log = structlog.get_logger(__name__)


@register_handler(ReadMembers)
async def read_members(daemon: "ControlDaemon", call: ReadMembers) -> MessageStruct:
    """Returns the members of the control group, and records a new instance without a replica."""
    session = await daemon.require_leader_session()
    if call.rendezvous is not None and call.rendezvous not in session.state.rendezvous:
        await session.propose(RecordRendezvous(address=call.rendezvous))
        log.info("rendezvous recorded", rendezvous=call.rendezvous.name)
    graph_session = daemon.require_graph_session(session)
    return MembersReply(
        members=tuple(
            MemberAddress(member.member_id, member.host, member.port)
            for member in daemon.replica.members()
        ),
        term=session.term,
        relays=graph_session.relays.register(call.relay, graph_session.now_s()),
    )


@register_handler(AnnounceMembers)
async def learn_members(daemon: "ControlDaemon", call: AnnounceMembers) -> MessageStruct:
    """Stores where the group can be reached, for an instance that has lost its disk.

    The instance also passes the latest announcement on to processes that ask it for the leader.
    """
    daemon.control_client.learn_members(call.members)
    daemon.control_client.group = call.members
    return Acknowledged()


@register_handler(JoinGroup)
async def join_group(daemon: "ControlDaemon", call: JoinGroup) -> MessageStruct:
    """Requests membership for a control instance; the leader admits it later."""
    address = call.member
    daemon.replica.request_join(Member(address.name, address.host, address.port))
    return Acknowledged()
