"""How soon urgent work has to start, and how long it takes to make room for it."""

import msgspec

# The part of the promised time that is planned for; the rest is for a leader that is slow.
PLANNED_SHARE = 0.85
# To note the end of what was stopped, to store the start and to tell the agent. Storing an end took
# 0.03 s in the median of four plays; the rest is for a busy disk.
START_AFTER_STOP_S = 0.4


class StartLimits(msgspec.Struct, frozen=True):
    """`urgent_start_s` is promised for urgent work inside its account's guarantee.

    It counts from the acceptance of the job. A worker takes up to `longest_stop_s` to stop a task.
    """

    urgent_start_s: float = 2.5
    longest_stop_s: float = 0.4

    def displace_by_s(self, accepted_s: float) -> float:
        """Returns when others have to be stopped at the latest, in the time of `accepted_s`."""
        return accepted_s + self.urgent_start_s * PLANNED_SHARE - self.make_room_s()

    def make_room_s(self) -> float:
        """Returns how long it takes to stop a run, note its end and start another one there."""
        return self.longest_stop_s + START_AFTER_STOP_S
