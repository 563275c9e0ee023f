"""Length-prefixed frames over asyncio streams."""

import asyncio

from cicadatray.internal.wire.errors import FrameError
from cicadatray.internal.wire.traffic import TRAFFIC

# Fits a document of an operator, of 1 MiB at most, beside its decoded form.
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
LENGTH_BYTES = 4


def pack_frame(body: bytes) -> bytes:
    """Returns the frame for a message body.

    Raises:
        FrameError: the body is longer than `FRAME_LIMIT_BYTES`.
    """
    if len(body) > FRAME_LIMIT_BYTES:
        raise FrameError(
            f"message of {len(body)} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes"
        )
    TRAFFIC.record_sent(LENGTH_BYTES + len(body))
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Reads one message body.

    Raises:
        EOFError: the peer closed the connection between two frames.
        FrameError: the length exceeds the limit, or the frame is truncated.
    """
    try:
        length_prefix = await reader.readexactly(LENGTH_BYTES)
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            raise EOFError("connection closed") from error
        raise FrameError("frame length truncated") from error
    length = int.from_bytes(length_prefix, "big")
    if length > FRAME_LIMIT_BYTES:
        raise FrameError(f"frame of {length} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes")
    TRAFFIC.record_received(LENGTH_BYTES + length)
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise FrameError(f"frame truncated at {len(error.partial)} of {length} bytes") from error
