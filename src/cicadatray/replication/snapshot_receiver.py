"""Assembly of a snapshot that the leader sends in chunks."""

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.limits import SNAPSHOT_LIMIT_BYTES
from cicadatray.replication.message import SnapshotRequest
from cicadatray.replication.snapshot import Snapshot, SnapshotPosition
from cicadatray.replication.snapshot_store import snapshot_checksum


class SnapshotTransferError(ReplicationError):
    """The received chunks do not form the announced snapshot."""


class SnapshotReceiver:
    """Collects the chunks of one snapshot; a chunk of another snapshot replaces them.

    Memory is allocated only for received bytes, not for the announced size.
    """

    __slots__ = ("data", "position")

    def __init__(self) -> None:
        self.data = bytearray()
        self.position: SnapshotPosition | None = None

    def receive(self, request: SnapshotRequest) -> Snapshot | None:
        """Adds a chunk and returns the snapshot once it is complete, otherwise None.

        A chunk at another offset than the next one is ignored.

        Raises:
            SnapshotTransferError: the snapshot is too large or its checksum differs.
        """
        if request.position.data_bytes > SNAPSHOT_LIMIT_BYTES:
            raise SnapshotTransferError(
                f"snapshot has {request.position.data_bytes} bytes, which exceeds the limit"
            )
        if request.position != self.position:
            self.clear()
            self.position = request.position
        if request.offset == len(self.data):
            self.data += request.chunk
        if len(self.data) < request.position.data_bytes:
            return None
        data = bytes(self.data)
        self.clear()
        is_complete = len(data) == request.position.data_bytes
        if not is_complete or snapshot_checksum(data) != request.position.data_checksum:
            raise SnapshotTransferError("checksum mismatch")
        return Snapshot(request.position, data)

    def clear(self) -> None:
        """Discards the chunks received so far."""
        self.data = bytearray()
        self.position = None
