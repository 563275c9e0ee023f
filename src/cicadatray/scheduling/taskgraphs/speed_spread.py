"""Whether the speeds of the workers of a pool differ."""

import math
from collections.abc import Iterable

SPREAD_ON = 1.3
SPREAD_OFF = 1.2
# Below this number of workers a percentile is a single worker.
MIN_WORKERS = 4
# One observed run leaves an uncertainty of 0.2, none leaves one of 0.4.
UNKNOWN_UNCERTAINTY = 0.3


class SpeedSpread:
    """Decides with hysteresis, pool by pool, whether the speeds of workers differ."""

    __slots__ = ("pools",)

    def __init__(self) -> None:
        self.pools: set[str] = set()

    def update(self, pool: str, speeds: Iterable[tuple[float, float]]) -> bool:
        """Returns whether the speeds, each with its uncertainty, differ beyond the uncertainty."""
        ratio = certain_ratio(speeds)
        if ratio > SPREAD_ON:
            self.pools.add(pool)
        elif ratio < SPREAD_OFF:
            self.pools.discard(pool)
        return pool in self.pools


def certain_ratio(speeds: Iterable[tuple[float, float]]) -> float:
    """Returns the ratio of the 90th and 10th percentile, each speed moved to 1 by its uncertainty.

    The uncertainty is a standard deviation of the log. Unknown workers do not count.
    """
    logs = []
    for speed, uncertainty in speeds:
        if uncertainty >= UNKNOWN_UNCERTAINTY:
            continue
        log_speed = math.log(speed)
        logs.append(math.copysign(max(0.0, abs(log_speed) - uncertainty), log_speed))
    if len(logs) < MIN_WORKERS:
        return 1.0
    logs.sort()
    rank = (len(logs) - 1) // 10
    return math.exp(logs[-1 - rank] - logs[rank])
