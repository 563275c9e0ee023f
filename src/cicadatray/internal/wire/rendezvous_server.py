"""A server that tells other processes where the control group can be reached."""

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.leader_probe import LeaderProbe
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import AnnounceMembers, GroupAddresses
from cicadatray.internal.wire.rpc_server import RpcServer


class RendezvousServer:
    """Serves the inner calls of a control instance without a replica.

    Such an instance may be the only seed that a restarted process knows. Every call but an
    announcement is answered with the members of the group instead of being carried out.
    """

    __slots__ = ("control", "probe", "server")

    def __init__(
        self,
        host: str,
        port: int,
        control: ControlClient,
        probe: LeaderProbe,
        codec: Codec,
        secret: bytes,
    ) -> None:
        self.control = control
        self.probe = probe
        self.server = RpcServer(host, port, codec, self.answer, secret)

    async def answer(self, call: MessageStruct) -> MessageStruct:
        """Returns the reply to a call of another process."""
        if isinstance(call, AnnounceMembers):
            self.control.learn_members(call.members)
            return Acknowledged()
        members = self.control.group
        leader_name = self.control.leader_name if self.probe.has_recent_leader_reply() else ""
        is_member = any(member.name == leader_name for member in members)
        return GroupAddresses(members=members, leader_name=leader_name if is_member else "")
