"""The cause of a worker's end."""

from enum import Enum


class WorkerEnd(Enum):
    """How a worker has ended, with all its runs.

    A worker that `CRASHED` refuses connections or has been replaced by another incarnation without
    notice. One that has `WITHDRAWN` announced its end. The lease of one that was `SILENT` has
    expired; it may never have ended.
    """

    CRASHED = "crashed"
    WITHDRAWN = "withdrawn"
    SILENT = "silent"
