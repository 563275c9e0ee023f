"""The policy of a queue."""

import msgspec


class QueuePolicy(msgspec.Struct, frozen=True, array_like=True):
    """The scheduling parameters that a queue sets for its jobs.

    `priority` 0 is the highest and may displace others. A job is on time when it takes at most
    `stretch` times the critical path of its estimates, plus `target_latency_s`.
    """

    queue: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float
