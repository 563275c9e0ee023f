"""Outcomes of the run of a gang."""

from enum import Enum


class GangOutcome(Enum):
    """The reason why the capacity of a gang is reusable again."""

    COMPLETED = "completed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    FAILED = "failed"
    WORKER_LOST = "worker_lost"
    CANCELLED = "cancelled"


REQUEUED_OUTCOMES = frozenset(
    {GangOutcome.CHECKPOINTED, GangOutcome.STOPPED, GangOutcome.WORKER_LOST}
)
