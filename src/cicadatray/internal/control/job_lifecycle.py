"""The life cycle of a job as a table of transitions."""

from transitions import Machine

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

JOB_LIFECYCLE = Machine(
    model=None,
    states=[state.value for state in JobState],
    initial=JobState.WAITING.value,
    auto_transitions=False,
    transitions=[
        [PLACE, "waiting", "starting"],
        [START, "starting", "running"],
        [STOP, ["starting", "running", "stopping"], "stopping"],
        [REQUEUE, HOLDING_CAPACITY, "waiting"],
        [COMPLETE, HOLDING_CAPACITY, "completed"],
        [FAIL, ACTIVE, "failed"],
        [CANCEL, ACTIVE, "cancelled"],
    ],
)


def _transition_table() -> dict[str, dict[JobState, JobState]]:
    table: dict[str, dict[JobState, JobState]] = {}
    for name, event in JOB_LIFECYCLE.events.items():
        moves = [move for moves in event.transitions.values() for move in moves]
        table[name] = {JobState(move.source): JobState(move.dest) for move in moves}
    return table


TRANSITION_TABLE = _transition_table()


def next_state(state: JobState, trigger: str) -> JobState | None:
    """Returns the state after a trigger, or None where the trigger is not allowed."""
    return TRANSITION_TABLE[trigger].get(state)
