"""Applies the records of control instances without a replica."""

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.graph_messages import RecordRendezvous

# Instances that are gone for good stay recorded until as many newer ones are. A deployment has one
# or two in each data centre.
RENDEZVOUS_LIMIT = 16


@register_applier(RecordRendezvous)
def record_rendezvous(state: ControlState, index: int, command: RecordRendezvous) -> MessageStruct:
    """Records an instance in place of its former address; forgets the oldest above the limit."""
    if command.address not in state.rendezvous:
        others = [address for address in state.rendezvous if address.name != command.address.name]
        state.rendezvous = (*others, command.address)[-RENDEZVOUS_LIMIT:]
    return Acknowledged()
