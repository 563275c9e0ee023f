"""Counts what this process sends and receives on inner connections."""

import msgspec


class TrafficTotals(msgspec.Struct):
    """Totals since the process started; bytes include the frame lengths, not TCP and IP headers."""

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0

    def sent(self, size_bytes: int) -> None:
        """Counts one frame sent."""
        self.frames_sent += 1
        self.bytes_sent += size_bytes

    def received(self, size_bytes: int) -> None:
        """Counts one frame received."""
        self.frames_received += 1
        self.bytes_received += size_bytes


TRAFFIC = TrafficTotals()
