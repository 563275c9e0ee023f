"""Encoding of messages and of the envelope that pairs requests with replies."""

from typing import Any

import msgspec

from cicadatray.internal.wire.errors import FrameError
from cicadatray.internal.wire.message import MessageStruct


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A request or a reply; the caller chooses `call_id`, and the reply repeats it."""

    call_id: int
    body: msgspec.Raw


class Codec:
    """Encodes and decodes the messages of one protocol."""

    __slots__ = ("body_decoder", "encoder", "envelope_decoder")

    def __init__(self, message_types: Any) -> None:
        """Accepts the union of the message types of the protocol."""
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self.body_decoder: msgspec.msgpack.Decoder[MessageStruct] = msgspec.msgpack.Decoder(
            message_types
        )

    def encode(self, call_id: int, message: MessageStruct) -> bytes:
        """Returns the bytes of one envelope."""
        body = msgspec.Raw(self.encoder.encode(message))
        return self.encoder.encode(Envelope(call_id, body))

    def decode(self, data: bytes) -> tuple[int, MessageStruct]:
        """Returns the call identifier and the message.

        Raises:
            FrameError: the bytes are not an envelope with a message of the protocol.
        """
        try:
            envelope = self.envelope_decoder.decode(data)
            return envelope.call_id, self.body_decoder.decode(envelope.body)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise FrameError(f"undecodable message: {error}") from error
