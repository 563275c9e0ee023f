"""The life cycle of an endpoint's health as a table of transitions."""

from enum import Enum

from transitions import Machine

EJECT = "eject"
PROBE = "probe"
POSTPONE = "postpone"
ADMIT = "admit"


class HealthState(Enum):
    """`EJECTED` endpoints get no requests, `PROBING` ones get single requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


HEALTH_LIFECYCLE = Machine(
    model=None,
    states=[state.value for state in HealthState],
    initial=HealthState.HEALTHY.value,
    auto_transitions=False,
    transitions=[
        [EJECT, ["healthy", "probing"], "ejected"],
        [PROBE, "ejected", "probing"],
        [POSTPONE, "probing", "ejected"],
        [ADMIT, "probing", "healthy"],
    ],
)


def _transition_table() -> dict[str, dict[HealthState, HealthState]]:
    table: dict[str, dict[HealthState, HealthState]] = {}
    for name, event in HEALTH_LIFECYCLE.events.items():
        moves = [move for moves in event.transitions.values() for move in moves]
        table[name] = {HealthState(move.source): HealthState(move.dest) for move in moves}
    return table


TRANSITION_TABLE = _transition_table()


def next_health(state: HealthState, trigger: str) -> HealthState | None:
    """Returns the state after a trigger, or None where the trigger is not allowed."""
    return TRANSITION_TABLE[trigger].get(state)
