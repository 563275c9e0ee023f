"""Messages from the control leader to agents: the tasks of gangs.

`term` is that of the leader: an agent refuses orders of a lower term than the one that granted its
lease, so that orders of a deposed leader have no effect.
"""

from cicadatray.internal.wire.message import MessageStruct


class PrepareTask(MessageStruct, frozen=True):
    """Reserves accelerators for one member of a gang, without starting its task.

    A higher `epoch` of the same job replaces a lower one. `payload` is passed to the worker as is.
    """

    job_id: str
    epoch: int
    term: int
    accelerators: int
    payload: str
    trace_id: str


class StartTask(MessageStruct, frozen=True):
    """Starts a prepared task."""

    job_id: str
    epoch: int
    term: int


class CheckpointTask(MessageStruct, frozen=True):
    """Checkpoints a task; the reply is sent once the checkpoint has been written."""

    job_id: str
    epoch: int
    term: int


class StopTask(MessageStruct, frozen=True):
    """Stops a task; the agent refuses every later message with this or a lower epoch."""

    job_id: str
    epoch: int
    term: int


class TaskAccepted(MessageStruct, frozen=True):
    """The order was carried out at the worker."""


class TaskRefused(MessageStruct, frozen=True):
    """The order was not carried out."""

    code: str
    detail: str
