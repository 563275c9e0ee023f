"""Assembles a snapshot that the leader sends in chunks."""

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.limits import SNAPSHOT_LIMIT_BYTES
from cicadatray.replication.message import SnapshotRequest
from cicadatray.replication.snapshot import Snapshot, SnapshotPosition
from cicadatray.replication.snapshot_store import snapshot_checksum


class SnapshotTransferError(ReplicationError):
    """The chunks do not make up the announced snapshot."""


class SnapshotReceiver:
    """Grows only by received bytes; a chunk of another snapshot starts over."""

    __slots__ = ("data", "position")

    def __init__(self) -> None:
        self.data = bytearray()
        self.position: SnapshotPosition | None = None

    def receive(self, request: SnapshotRequest) -> Snapshot | None:
        """Takes a chunk and returns the snapshot once it is complete.

        Raises:
            SnapshotTransferError: it is too large or its checksum differs.
        """
        if request.position.data_bytes > SNAPSHOT_LIMIT_BYTES:
            raise SnapshotTransferError(f"{request.position.data_bytes} bytes are too many")
        if request.position != self.position:
            self.clear()
            self.position = request.position
        if request.offset == len(self.data):
            self.data += request.chunk
        if len(self.data) < request.position.data_bytes:
            return None
        data = bytes(self.data)
        self.clear()
        is_whole = len(data) == request.position.data_bytes
        if not is_whole or snapshot_checksum(data) != request.position.data_checksum:
            raise SnapshotTransferError("checksum mismatch")
        return Snapshot(request.position, data)

    def clear(self) -> None:
        """Drops what was received."""
        self.data = bytearray()
        self.position = None
