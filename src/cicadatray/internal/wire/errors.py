"""Errors of the wire layer."""


class WireError(Exception):
    """Base class of failures of a call to another process of the system."""


class FrameError(WireError):
    """A frame exceeds the size limit, is truncated or contains no valid message."""


class HandshakeError(WireError):
    """The peer has another cluster secret or uses another protocol version."""


class PeerUnreachableError(WireError):
    """The request was certainly not sent, so the peer cannot have acted on it."""


class PeerLostError(WireError):
    """The connection or the timeout ended the call after the peer may have received the request.

    `connection_wait_s` is how long the call had waited for a connection, in seconds.
    """

    def __init__(self, reason: str, connection_wait_s: float = 0.0) -> None:
        super().__init__(reason)
        self.connection_wait_s = connection_wait_s
