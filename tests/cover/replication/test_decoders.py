"""Tests of the decoders with arbitrary and with damaged bytes."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cicadatray.replication.errors import MessageDecodeError, StorageDamagedError
from cicadatray.replication.limits import MESSAGE_LIMIT_BYTES
from cicadatray.replication.log_entry import (
    EntryDecodeError,
    LogEntry,
    decode_entries,
    decode_membership,
    encode_entry,
)
from cicadatray.replication.message import (
    AppendRequest,
    decode_replica_message,
    encode_replica_message,
)
from cicadatray.replication.snapshot import decode_position

ENTRIES = b"".join(encode_entry(LogEntry(index, 1, False, b"data")) for index in range(3))
MESSAGE = encode_replica_message(
    AppendRequest(
        identity="i",
        term=1,
        group_id="g",
        sender_id="s",
        target_identity="t",
        prev_index=1,
        prev_term=1,
        commit_index=1,
        records=ENTRIES,
    )
)
DECODERS = (
    (decode_replica_message, MessageDecodeError),
    (decode_entries, EntryDecodeError),
    (decode_membership, EntryDecodeError),
    (decode_position, StorageDamagedError),
)


@given(data=st.binary(max_size=200), position=st.integers(0, 400), valid=st.sampled_from((0, 1)))
@example(data=b"\xdd\xff\xff\xff\xff" * 1000, position=0, valid=0)
@example(data=b"\xff\xff\xff\xff\0\0\0\0", position=0, valid=0)
def test_decoders_raise_only_their_own_error(data: bytes, position: int, valid: int) -> None:
    """Guards against unexpected exceptions, and against allocating memory for a claimed length."""
    source = (MESSAGE, ENTRIES)[valid]
    damaged = source[:position] + data + source[position + len(data) :]
    for decode, error in DECODERS:
        for candidate in (data, damaged):
            try:
                decode(candidate)
            except error:
                pass


def test_message_beyond_the_limit_is_refused() -> None:
    """Guards against decoding a message that is larger than any sender may send."""
    with pytest.raises(MessageDecodeError):
        decode_replica_message(MESSAGE + b"\0" * MESSAGE_LIMIT_BYTES)


@given(position=st.integers(0, len(ENTRIES) - 1), bit=st.integers(0, 7))
def test_every_flipped_bit_of_a_record_is_detected(position: int, bit: int) -> None:
    """Guards against a checksum that does not cover every byte."""
    damaged = bytearray(ENTRIES)
    damaged[position] ^= 1 << bit
    with pytest.raises(EntryDecodeError):
        decode_entries(bytes(damaged))
