"""How a run of a task ended."""

from enum import Enum


class RunOutcome(Enum):
    """`LOST` is what control records when a worker was not heard until its lease had ended.

    `CLEARED` is a run that never began on its worker and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    PARTNER_ENDED = "partner_ended"
    PARTNERS_MISSING = "partners_missing"
    LOST = "lost"
    CLEARED = "cleared"
