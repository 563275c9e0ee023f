"""Amounts of resources."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """The resources that a task needs or a worker offers.

    `cpu_millis` is in thousandths of a core.
    """

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
        """Returns the difference; each amount may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether `available` covers each amount."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def fit_count(self, available: "Resources") -> int:
        """Returns how many tasks with this demand fit into `available`."""
        count = UNBOUNDED_TASKS
        if self.cpu_millis > 0:
            count = available.cpu_millis // self.cpu_millis
        if self.memory_mb > 0:
            count = min(count, available.memory_mb // self.memory_mb)
        if self.accelerators > 0:
            count = min(count, available.accelerators // self.accelerators)
        return max(0, count)


# The count for a task without any demand; far above the number of tasks in any step.
UNBOUNDED_TASKS = 100_000
