"""Calls to control that another process passes on."""

from cicadatray.internal.wire.message import MessageStruct


class RelayedCall(MessageStruct, frozen=True):
    """Asks a process that reaches control to pass on a call; `payload` is the encoded call."""

    payload: bytes
    timeout_s: float


class RelayedReply(MessageStruct, frozen=True):
    """What control answered."""

    payload: bytes


class RelayUnavailable(MessageStruct, frozen=True):
    """Control did not answer; `may_have_effect` is False when no instance can have acted."""

    reason: str
    may_have_effect: bool
