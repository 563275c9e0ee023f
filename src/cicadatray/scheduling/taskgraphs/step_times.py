"""The true times of one step beside its estimates."""


class StepTimes:
    """The mean of the log of true time by estimate over the runs of one step."""

    __slots__ = ("count", "total")

    def __init__(self) -> None:
        self.count = 0
        self.total = 0.0

    @property
    def mean(self) -> float:
        """The mean over the runs."""
        return self.total / self.count
