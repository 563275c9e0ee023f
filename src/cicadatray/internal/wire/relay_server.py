"""A server that forwards calls of processes that cannot reach control."""

import structlog

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.control_client import (
    ControlClient,
    ControlInDoubtError,
    ControlUnavailableError,
)
from cicadatray.internal.wire.errors import FrameError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.relay_messages import (
    RelayedCall,
    RelayedReply,
    RelayUnavailable,
)
from cicadatray.internal.wire.rpc_server import RpcServer

UNKNOWN_CALL_CODE = "unknown_call"

log = structlog.get_logger(__name__)


class RelayServer:
    """Forwards calls to control over direct connections only.

    A partition often separates a process from control but not from its peers. Two processes that
    both cannot reach control would otherwise forward calls to each other.
    """

    __slots__ = ("codec", "control", "server")

    def __init__(
        self, host: str, port: int, control: ControlClient, codec: Codec, secret: bytes
    ) -> None:
        self.control = control
        self.codec = codec
        self.server = RpcServer(host, port, codec, self.answer, secret)

    async def answer(self, call: MessageStruct) -> MessageStruct:
        """Forwards one call and returns the reply of control."""
        if not isinstance(call, RelayedCall):
            return Failure(code=UNKNOWN_CALL_CODE, detail=type(call).__name__)
        try:
            _, message = self.codec.decode(call.payload)
        except FrameError as error:
            return RelayUnavailable(reason=str(error), may_have_effect=False)
        if self.control.is_relaying:
            return RelayUnavailable(
                reason="the relay cannot reach control either", may_have_effect=False
            )
        try:
            reply = await self.control.call_directly(message, call.timeout_s)
        except ControlInDoubtError as error:
            refusal = self.codec.encode(0, error.refusal)
            return RelayedReply(payload=refusal, is_earlier_in_doubt=True)
        except ControlUnavailableError as error:
            return RelayUnavailable(reason=str(error), may_have_effect=error.may_have_effect)
        return RelayedReply(payload=self.codec.encode(0, reply))
