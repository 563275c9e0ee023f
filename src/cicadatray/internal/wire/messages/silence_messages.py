"""Commands of the log about workers whose leases are not renewed."""

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class WorkerSilence(msgspec.Struct, frozen=True, array_like=True):
    """For how long, in seconds, a worker has at least been without a renewal of its lease."""

    worker_id: str
    silence_s: float


class RecordSilences(MessageStruct, frozen=True):
    """Command that replaces the recorded silences of all workers."""

    silences: tuple[WorkerSilence, ...] = ()


class ClearSilence(MessageStruct, frozen=True):
    """Command that removes a worker's silence; its lease may be renewed once this is committed."""

    worker_id: str
