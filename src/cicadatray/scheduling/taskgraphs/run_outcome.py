"""The outcome of a run."""

from enum import Enum


class RunOutcome(Enum):
    """How a run of a task ended.

    A worker reports `LAPSED` when its lease expired, `PARTNER_ENDED` when another member of the
    gang ended, and `PARTNERS_MISSING` when other members did not start. Control records `LOST`
    when a worker stayed silent until its lease had expired or withdrew, and `CRASHED` when the
    worker crashed. `CLEARED` is a run that has not begun on its worker and is certain never to
    begin.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    PARTNER_ENDED = "partner_ended"
    PARTNERS_MISSING = "partners_missing"
    LOST = "lost"
    CLEARED = "cleared"
    CRASHED = "crashed"
