"""Length-prefixed records with a checksum, as stored in log segments and sent in messages."""

import struct
from collections.abc import Iterator

import crc32c

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.limits import RECORD_LIMIT_BYTES

HEADER = struct.Struct(">II")


class RecordError(ReplicationError):
    """A record is truncated, damaged or too large; `offset` is the byte at which it starts."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"record at byte {offset}: {reason}")
        self.offset = offset


def checksum(length: int, payload: bytes | memoryview) -> int:
    """Returns the CRC-32C of the length and the payload, so that a damaged length is detected."""
    return int(crc32c.crc32c(payload, crc32c.crc32c(length.to_bytes(4, "big"))))


def pack_record(payload: bytes) -> bytes:
    """Returns a payload encoded as one record.

    Raises:
        RecordError: the payload is longer than `RECORD_LIMIT_BYTES`.
    """
    if len(payload) > RECORD_LIMIT_BYTES:
        raise RecordError(
            0, f"payload has {len(payload)} bytes, limit is {RECORD_LIMIT_BYTES} bytes"
        )
    return HEADER.pack(len(payload), checksum(len(payload), payload)) + payload


def scan_records(data: bytes, start: int = 0) -> Iterator[tuple[bytes, int]]:
    """Yields each payload with the offset of the byte after its record.

    Raises:
        RecordError: the bytes at some offset are not a complete, undamaged record.
    """
    offset = start
    while offset < len(data):
        body_offset = offset + HEADER.size
        if body_offset > len(data):
            raise RecordError(offset, "truncated header")
        length, expected = HEADER.unpack_from(data, offset)
        if length > RECORD_LIMIT_BYTES:
            raise RecordError(offset, f"length {length} exceeds the limit {RECORD_LIMIT_BYTES}")
        payload = data[body_offset : body_offset + length]
        if len(payload) < length:
            raise RecordError(offset, f"truncated payload: {len(payload)} of {length} bytes")
        if checksum(length, payload) != expected:
            raise RecordError(offset, "checksum mismatch")
        offset = body_offset + length
        yield payload, offset
