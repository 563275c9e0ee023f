"""What a queue says about its jobs."""

import msgspec


class QueuePolicy(msgspec.Struct, frozen=True, array_like=True):
    """`priority` 0 comes first and may displace others.

    A job is on time within `stretch` times its longest chain of estimates, plus `target_latency_s`.
    """

    queue: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float
