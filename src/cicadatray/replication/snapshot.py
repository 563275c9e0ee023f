"""Snapshots of the state machine and their position in the log."""

import msgspec

from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.membership import Membership
from cicadatray.replication.record import RecordError, pack_record, scan_records


class SnapshotPosition(msgspec.Struct, frozen=True, array_like=True):
    """The last entry that a snapshot covers, the membership there, and the size of the data.

    `data_bytes` and `data_checksum` are the length and the CRC-32C of the data.
    """

    last_index: int
    last_term: int
    membership: Membership
    data_bytes: int
    data_checksum: int


class Snapshot(msgspec.Struct, frozen=True):
    """A snapshot; `data` is the state as returned by the state machine."""

    position: SnapshotPosition
    data: bytes


def encode_position(position: SnapshotPosition) -> bytes:
    """Returns a position encoded as the record that precedes the data in a snapshot file."""
    return pack_record(msgspec.msgpack.encode(position))


def decode_position(data: bytes) -> tuple[SnapshotPosition, int]:
    """Decodes the start of a snapshot file.

    Returns the position and the offset of the data that follows it.

    Raises:
        StorageDamagedError: the start of the file is damaged.
    """
    try:
        payload, end = next(scan_records(data), (b"", 0))
        return msgspec.msgpack.decode(payload, type=SnapshotPosition), end
    except (RecordError, msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise StorageDamagedError(f"snapshot position is damaged: {error}") from error
