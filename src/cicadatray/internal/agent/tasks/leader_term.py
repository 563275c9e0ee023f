"""The term of the current leader."""

from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.messages.graph_messages import MembersReply, ReadMembers

# The term is read while a worker's announcement waits for its answer, due within a second.
READ_TERM_TIMEOUT_S = 0.6


async def read_leader_term(control: ControlClient) -> int:
    """Returns the term of the leader, or 0 when it sends an unexpected reply.

    Raises:
        WireError: no leader replied, or its reply is invalid.
    """
    reply = await control.call(ReadMembers(), READ_TERM_TIMEOUT_S)
    return reply.term if isinstance(reply, MembersReply) else 0
