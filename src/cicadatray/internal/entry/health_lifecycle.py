"""The states of an endpoint's health and their transitions."""

from enum import Enum

from cicadatray.internal.lifecycle_table import LifecycleTable

EJECT = "eject"
PROBE = "probe"
POSTPONE = "postpone"
ADMIT = "admit"


class HealthState(Enum):
    """The health of an endpoint.

    `EJECTED` endpoints get no requests, `PROBING` ones get one request at a time.
    """

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
    """Returns the state after a trigger, or None if the trigger is not allowed in this state."""
    return HEALTH_LIFECYCLE.next_state(state, trigger)
