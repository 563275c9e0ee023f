"""The replicated record of evacuated data centres."""

import msgspec

from cicadatray.internal.wire.messages.evacuation_messages import Evacuation

# Operators repeat an order for a few seconds, so a few identifiers of each data centre suffice.
OPERATION_ID_LIMIT = 16


class EvacuationRecord(msgspec.Struct):
    """The evacuations in force by data centre, and the latest operations on each."""

    active: dict[str, Evacuation] = {}
    operation_ids: dict[str, tuple[str, ...]] = {}

    def has_operation(self, data_centre: str, operation_id: str) -> bool:
        """Returns whether an operation on the data centre is recorded."""
        return operation_id != "" and operation_id in self.operation_ids.get(data_centre, ())

    def record_operation(self, data_centre: str, operation_id: str) -> None:
        """Records an operation, and forgets the oldest above the limit."""
        if operation_id:
            earlier = self.operation_ids.get(data_centre, ())
            self.operation_ids[data_centre] = (*earlier, operation_id)[-OPERATION_ID_LIMIT:]
