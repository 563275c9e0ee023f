"""The jobs that are passed over at present."""

# A job that is passed over stays so for at least this long, unless it can be on time by a wide
# margin. Otherwise two jobs of similar value take turns and neither is on time.
HYSTERESIS_S = 2.0
# A job is passed over for at most this long. Then it goes first within its priority, one job at a
# time, so that the others are delayed by one job only.
MAX_PASSED_OVER_S = 20.0


class PassedOverMemory:
    """Since when jobs are passed over, by graph, in seconds since 1970; kept in `RuleMemory`."""

    __slots__ = ("since_s",)

    def __init__(self) -> None:
        self.since_s: dict[str, float] = {}

    def is_held(self, graph_id: str, now_s: float) -> bool:
        """Returns whether the job was passed over a moment ago."""
        since_s = self.since_s.get(graph_id)
        return since_s is not None and now_s - since_s < HYSTERESIS_S

    def is_exhausted(self, graph_id: str, now_s: float) -> bool:
        """Returns whether the job has been passed over for as long as it may be."""
        since_s = self.since_s.get(graph_id)
        return since_s is not None and now_s - since_s >= MAX_PASSED_OVER_S
