"""Appliers of the replicated commands about silent workers."""

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.silence_messages import ClearSilence, RecordSilences


@register_applier(RecordSilences)
def record_silences(state: ControlState, index: int, command: RecordSilences) -> MessageStruct:
    """Replaces all recorded silences; workers that the command does not name have none."""
    state.graphs.silences = {s.worker_id: s.silence_s for s in command.silences}
    return Acknowledged()


@register_applier(ClearSilence)
def clear_silence(state: ControlState, index: int, command: ClearSilence) -> MessageStruct:
    """Removes the recorded silence of a worker, if there is one."""
    state.graphs.silences.pop(command.worker_id, None)
    return Acknowledged()
