"""What became of the attempts of one call to control."""

import msgspec

from cicadatray.internal.wire.errors import PeerLostError, PeerUnreachableError, WireError


class CallTrace(msgspec.Struct):
    """Sums up the attempts of a call, for log lines and metrics; times are in seconds.

    `asked` is the control instance or the relay that was called last. `connection_wait_s` is how
    long attempts that failed waited for a connection. `reply_wait_s` is the rest of the time of all
    attempts.
    """

    attempts: int = 0
    asked: str = ""
    connection_wait_s: float = 0.0
    reply_wait_s: float = 0.0

    def record_attempt(self, asked: str, duration_s: float, error: WireError | None) -> None:
        """Counts an attempt; `error` is None if it got a reply."""
        connection_wait_s = 0.0
        if isinstance(error, PeerUnreachableError):
            connection_wait_s = duration_s
        elif isinstance(error, PeerLostError):
            connection_wait_s = min(error.connection_wait_s, duration_s)
        self.attempts += 1
        self.asked = asked
        self.connection_wait_s += connection_wait_s
        self.reply_wait_s += duration_s - connection_wait_s
