"""Calls to control that another process forwards."""

from cicadatray.internal.wire.message import MessageStruct


class RelayedCall(MessageStruct, frozen=True):
    """Asks a process that can reach control to forward a call; `payload` is the encoded call."""

    payload: bytes
    timeout_s: float


class RelayedReply(MessageStruct, frozen=True):
    """The encoded reply of control to the last attempt of the relay.

    `is_earlier_in_doubt` is set if control may have acted on an earlier attempt of the relay.
    """

    payload: bytes
    is_earlier_in_doubt: bool = False


class RelayUnavailable(MessageStruct, frozen=True):
    """Control did not reply; `may_have_effect` is False if no instance can have acted on it."""

    reason: str
    may_have_effect: bool
