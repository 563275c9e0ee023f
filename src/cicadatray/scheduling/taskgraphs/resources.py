"""What a task needs and a worker offers."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """`cpu_millis` is in thousandths of a core."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference; parts may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Returns whether `room` has at least this much of everything."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def times_in(self, room: "Resources") -> int:
        """Returns how many tasks of this need fit into `room`."""
        counts = [
            available // needed
            for needed, available in (
                (self.cpu_millis, room.cpu_millis),
                (self.memory_mb, room.memory_mb),
                (self.accelerators, room.accelerators),
            )
            if needed > 0
        ]
        return max(0, min(counts)) if counts else UNBOUNDED_TASKS


# A task that needs nothing fits any number of times; this is far above any step.
UNBOUNDED_TASKS = 100_000
