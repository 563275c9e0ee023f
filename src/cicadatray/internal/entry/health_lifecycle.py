"""The life cycle of an endpoint's health as a table of transitions."""

from enum import Enum

from cicadatray.internal.lifecycle_table import LifecycleTable

EJECT = "eject"
PROBE = "probe"
POSTPONE = "postpone"
ADMIT = "admit"


class HealthState(Enum):
    """`EJECTED` endpoints get no requests, `PROBING` ones get single requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


HEALTH_LIFECYCLE = LifecycleTable(
    HealthState,
    HealthState.HEALTHY,
    [
        [EJECT, ["healthy", "probing"], "ejected"],
        [PROBE, "ejected", "probing"],
        [POSTPONE, "probing", "ejected"],
        [ADMIT, "probing", "healthy"],
    ],
)


def next_health(state: HealthState, trigger: str) -> HealthState | None:
    """Returns the state after a trigger, or None where the trigger is not allowed."""
    return HEALTH_LIFECYCLE.next_state(state, trigger)
