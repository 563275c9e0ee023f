"""Counters of the traffic between the processes of the system."""

import msgspec


class TrafficTotals(msgspec.Struct):
    """Counts frames and bytes since the process started.

    Bytes include the length prefixes of frames, but no TCP or IP headers.
    """

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0

    def record_sent(self, size_bytes: int) -> None:
        """Counts one frame sent."""
        self.frames_sent += 1
        self.bytes_sent += size_bytes

    def record_received(self, size_bytes: int) -> None:
        """Counts one frame received."""
        self.frames_received += 1
        self.bytes_received += size_bytes


TRAFFIC = TrafficTotals()
