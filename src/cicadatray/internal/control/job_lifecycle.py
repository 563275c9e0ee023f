"""The life cycle of a job as a table of transitions."""

from cicadatray.internal.lifecycle_table import LifecycleTable
from cicadatray.internal.wire.messages.job_messages import JobState

PLACE = "place"
START = "start"
STOP = "stop"
REQUEUE = "requeue"
COMPLETE = "complete"
FAIL = "fail"
CANCEL = "cancel"

HOLDING_CAPACITY = ["starting", "running", "stopping"]
ACTIVE = ["waiting", *HOLDING_CAPACITY]

JOB_LIFECYCLE = LifecycleTable(
    JobState,
    JobState.WAITING,
    [
        [PLACE, "waiting", "starting"],
        [START, "starting", "running"],
        [STOP, ["starting", "running", "stopping"], "stopping"],
        [REQUEUE, HOLDING_CAPACITY, "waiting"],
        [COMPLETE, HOLDING_CAPACITY, "completed"],
        [FAIL, ACTIVE, "failed"],
        [CANCEL, ACTIVE, "cancelled"],
    ],
)


def next_state(state: JobState, trigger: str) -> JobState | None:
    """Returns the state after a trigger, or None where the trigger is not allowed."""
    return JOB_LIFECYCLE.next_state(state, trigger)
