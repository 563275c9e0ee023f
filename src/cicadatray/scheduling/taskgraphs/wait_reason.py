"""The reasons for which work waits."""

from enum import Enum


class WaitReason(Enum):
    """Why the oldest work of a queue waits.

    The first reason that applies is reported. The last two concern graphs without any work that is
    ready for placement.
    """

    NO_WORKER_OF_POOL = "no worker of its pool"
    NO_WORKER_WITH_LABEL = "no worker with its label"
    LARGER_THAN_WORKERS = "does not fit even when all workers are empty"
    ROOM_BEING_FREED = "its room is being freed"
    ROOM_KEPT = "room is kept for other work"
    DATA_RACK = "waits for the rack of its data"
    ONE_RACK = "waits for room in one rack"
    MUST_START_ALONE = "must start alone on a worker, since workers crashed under it"
    SUSPECT_WORKERS = "only suspect workers have room"
    WORKER_LIMIT = "each worker has its limit of tasks of the step"
    ROOM_SCATTERED = "free room is scattered"
    NO_ROOM = "no room"
    FORMER_RUN = "a former run has not ended"
    NOT_DUE = "not due"
