"""A snapshot of the state machine together with its place in the log."""

import msgspec

from cicadatray.replication.errors import StorageDamagedError
from cicadatray.replication.membership import Membership
from cicadatray.replication.record import RecordError, pack_record, scan_records


class SnapshotPosition(msgspec.Struct, frozen=True, array_like=True):
    """The last entry that a snapshot contains, and the membership at that entry."""

    last_index: int
    last_term: int
    membership: Membership
    data_bytes: int
    data_checksum: int


class Snapshot(msgspec.Struct, frozen=True):
    """`data` is what the state machine returned."""

    position: SnapshotPosition
    data: bytes


def encode_position(position: SnapshotPosition) -> bytes:
    """Returns the record that precedes the data in a snapshot file."""
    return pack_record(msgspec.msgpack.encode(position))


def decode_position(data: bytes) -> tuple[SnapshotPosition, int]:
    """Returns the position and the offset of the data behind it.

    Raises:
        StorageDamagedError: the beginning of the file is damaged.
    """
    try:
        payload, end = next(scan_records(data), (b"", 0))
        return msgspec.msgpack.decode(payload, type=SnapshotPosition), end
    except (RecordError, msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise StorageDamagedError(f"snapshot position is damaged: {error}") from error
