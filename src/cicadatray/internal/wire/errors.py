"""Errors of the wire layer."""


class WireError(Exception):
    """Any failure of a call to another process of the system."""


class FrameError(WireError):
    """A frame is longer than the limit, cut short or not a known message."""


class HandshakeError(WireError):
    """The other side does not know the cluster secret or speaks another protocol version."""


class PeerUnreachableError(WireError):
    """The request was certainly not sent, so the other side cannot have acted on it."""


class PeerLostError(WireError):
    """The connection or the timeout ended the call after the request may have been received."""
