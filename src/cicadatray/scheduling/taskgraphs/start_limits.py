"""The time limit for the start of urgent work."""

import msgspec

# The share of the promised time that is planned for; the rest is a reserve for a slow leader.
PLANNED_SHARE = 0.85
# The time to record the end of a stopped run, to store the next start and to send the order to the
# agent. The median time to store an end was 0.03 s in four measurements; the rest is for a busy
# disk.
START_AFTER_STOP_S = 0.4


class StartLimits(msgspec.Struct, frozen=True):
    """The promised start time of urgent work, and the time that a stop takes.

    Urgent work within its account's guarantee starts at most `urgent_start_s` after the acceptance
    of its job. A worker takes up to `longest_stop_s` to stop a task.
    """

    urgent_start_s: float = 2.5
    longest_stop_s: float = 0.4

    def latest_displacement_s(self, accepted_s: float) -> float:
        """Returns the latest time to displace other work, in seconds since 1970.

        `accepted_s` is the time at which the urgent job was accepted, in the same unit.
        """
        return accepted_s + self.urgent_start_s * PLANNED_SHARE - self.displacement_s()

    def displacement_s(self) -> float:
        """Returns the time to stop a run, record its end and start another run in its place."""
        return self.longest_stop_s + START_AFTER_STOP_S
