"""Orders to evacuate data centres in the replicated state."""

import msgspec
import pytest

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.evacuation_record import OPERATION_ID_LIMIT
from cicadatray.internal.wire.messages.evacuation_messages import (
    EvacuationsReply,
    OrderEvacuation,
    RecordEvacuation,
)


class Log:
    """Applies orders to a state and counts the time by one second for each."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0

    def order(self, data_centre: str, is_evacuated: bool, operation_id: str = "") -> bool:
        """Applies an order and returns whether it counts as repeated."""
        self.index += 1
        order = OrderEvacuation(
            data_centre=data_centre, is_evacuated=is_evacuated, operation_id=operation_id
        )
        command = RecordEvacuation(order=order, now_s=float(self.index))
        encoded = self.state.apply(self.index, self.state.encode_command(command))
        reply = self.state.decode_reply(encoded)
        assert isinstance(reply, EvacuationsReply)
        assert {e.evacuation.data_centre for e in reply.evacuations} == set(self.active())
        return reply.is_repeated

    def active(self) -> dict[str, float]:
        """Returns when each evacuation was ordered."""
        active = self.state.evacuations.active
        return {name: evacuation.ordered_s for name, evacuation in active.items()}


@pytest.mark.parametrize(
    ("orders", "active", "is_repeated"),
    [
        ([("a", True, "")], {"a": 1.0}, False),
        ([("a", True, ""), ("a", True, "")], {"a": 1.0}, True),
        ([("a", True, "1"), ("a", True, "1")], {"a": 1.0}, True),
        ([("a", True, "1"), ("a", True, "2")], {"a": 1.0}, True),
        ([("a", True, ""), ("a", False, "")], {}, False),
        ([("a", False, "")], {}, True),
        ([("a", True, "1"), ("a", False, "2"), ("a", True, "1")], {}, True),
        ([("a", True, "1"), ("a", True, "2"), ("a", False, "3"), ("a", True, "2")], {}, True),
        ([("a", True, ""), ("a", False, ""), ("a", True, "")], {"a": 3.0}, False),
        ([("a", True, "1"), ("b", True, "1")], {"a": 1.0, "b": 2.0}, False),
        ([("a", True, ""), ("b", True, ""), ("a", False, "")], {"b": 2.0}, False),
    ],
    ids=[
        "first",
        "repeated",
        "repeated operation",
        "another operation",
        "withdrawn",
        "withdrawn without an order",
        "late operation",
        "late operation that changed nothing",
        "late order without a number",
        "same operation on another data centre",
        "one of two withdrawn",
    ],
)
def test_orders(
    orders: list[tuple[str, bool, str]], active: dict[str, float], is_repeated: bool
) -> None:
    """Guards against a repeat that prolongs an evacuation or brings a withdrawn one back."""
    log = Log()
    outcomes = [log.order(*order) for order in orders]
    assert (log.active(), outcomes[-1]) == (active, is_repeated)


def test_operations_are_bounded() -> None:
    """Guards against a replicated state that grows with every order."""
    log = Log()
    for number in range(3 * OPERATION_ID_LIMIT):
        log.order("a", number % 2 == 0, str(number))
    assert len(log.state.evacuations.operation_ids["a"]) == OPERATION_ID_LIMIT


def test_snapshot_keeps_evacuations() -> None:
    """Guards against an order that is forgotten by an instance that got the state by a snapshot."""
    log = Log()
    log.order("a", True, "1")
    restored = Log()
    restored.state.restore(log.state.snapshot())
    assert restored.active() == {"a": 1.0}
    assert restored.order("a", True, "1")
    restored.order("a", False, "2")
    assert restored.order("a", True, "1")
    assert restored.active() == {}


def test_snapshot_of_an_earlier_version_has_no_evacuations() -> None:
    """Guards against an instance that cannot start after an update."""
    log = Log()
    log.order("a", True)
    document = msgspec.msgpack.decode(log.state.snapshot())
    del document["evacuations"]
    restored = Log()
    restored.order("b", True)
    restored.state.restore(msgspec.msgpack.encode(document))
    assert restored.active() == {}
