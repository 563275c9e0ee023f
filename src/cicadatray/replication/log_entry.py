"""Entries of the replicated log."""

from collections.abc import Iterable

import msgspec

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.membership import Membership
from cicadatray.replication.record import RecordError, pack_record, scan_records


class EntryDecodeError(ReplicationError):
    """The bytes are not a valid log entry or membership."""


class LogEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An entry of the log.

    `data` is a command, or an encoded `Membership` when `is_membership` is set.
    """

    index: int
    term: int
    is_membership: bool
    data: bytes


_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(LogEntry)
_membership_decoder = msgspec.msgpack.Decoder(Membership)


def encode_entry(entry: LogEntry) -> bytes:
    """Returns an entry encoded as a record."""
    return pack_record(_encoder.encode(entry))


def decode_entry(payload: bytes) -> LogEntry:
    """Decodes the payload of a record.

    Raises:
        EntryDecodeError: the payload is not an entry.
    """
    try:
        return _entry_decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise EntryDecodeError(f"not a log entry: {error}") from error


def encode_entries(entries: Iterable[LogEntry]) -> bytes:
    """Returns entries encoded as a sequence of records."""
    return b"".join(encode_entry(entry) for entry in entries)


def decode_entries(data: bytes) -> list[LogEntry]:
    """Decodes a sequence of records.

    Raises:
        EntryDecodeError: a record is damaged or is not an entry.
    """
    try:
        return [decode_entry(payload) for payload, _ in scan_records(data)]
    except RecordError as error:
        raise EntryDecodeError(str(error)) from error


def encode_membership(membership: Membership) -> bytes:
    """Returns a membership encoded as the data of a log entry."""
    return _encoder.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decodes the membership in an entry's data.

    Raises:
        EntryDecodeError: the data is not a membership.
    """
    try:
        return _membership_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise EntryDecodeError(f"not a membership: {error}") from error
