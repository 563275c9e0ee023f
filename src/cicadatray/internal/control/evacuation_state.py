"""Applies orders to evacuate data centres."""

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.evacuation_messages import (
    Evacuation,
    EvacuationProgress,
    EvacuationsReply,
    RecordEvacuation,
)


@register_applier(RecordEvacuation)
def record_evacuation(state: ControlState, index: int, command: RecordEvacuation) -> MessageStruct:
    """Carries out an order; a repeated one changes nothing."""
    order, record = command.order, state.evacuations
    is_active = order.data_centre in record.active
    is_repeated = record.has_operation(order.data_centre, order.operation_id)
    if not is_repeated:
        record.record_operation(order.data_centre, order.operation_id)
        if order.is_evacuated and not is_active:
            record.active[order.data_centre] = Evacuation(
                order.data_centre, command.now_s, order.operator
            )
        elif not order.is_evacuated:
            record.active.pop(order.data_centre, None)
    return EvacuationsReply(
        evacuations=tuple(EvacuationProgress(evacuation) for evacuation in record.active.values()),
        is_repeated=is_repeated or is_active == order.is_evacuated,
    )
