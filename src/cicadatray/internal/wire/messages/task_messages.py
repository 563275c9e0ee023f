"""Messages from the control leader to agents: the tasks of gangs.

`term` is the leader's: an agent refuses orders of a term below the one that granted its lease, so
that a leader which was frozen cannot act on it any more.
"""

from cicadatray.internal.wire.message import MessageStruct


class PrepareTask(MessageStruct, frozen=True):
    """Reserve accelerators for one member of a gang; nothing runs yet.

    A higher `epoch` of the same job replaces a lower one. `payload` goes to the worker unchanged.
    """

    job_id: str
    epoch: int
    term: int
    accelerators: int
    payload: str
    trace_id: str


class StartTask(MessageStruct, frozen=True):
    """Start a prepared task."""

    job_id: str
    epoch: int
    term: int


class CheckpointTask(MessageStruct, frozen=True):
    """Write a checkpoint; the answer comes when it is written."""

    job_id: str
    epoch: int
    term: int


class StopTask(MessageStruct, frozen=True):
    """Stop a task and refuse every later message with this or a lower epoch."""

    job_id: str
    epoch: int
    term: int


class TaskAccepted(MessageStruct, frozen=True):
    """The order has been carried out at the worker."""


class TaskRefused(MessageStruct, frozen=True):
    """The order has not been carried out."""

    code: str
    detail: str
