"""The value of jobs to their callers, in core-seconds of work.

The users' load sheets price a core-second of wasted work at 0.0023. In the same unit a job of a
queue with priority 0, 1 or 2 is worth 4, 3 or 1 when it is on time, and a fifth to a third of that
when it is late.
"""

# Jobs of queues with this priority may displace others and use guarantees.
URGENT_PRIORITY = 0
CORE_SECONDS_PER_WORTH = 435.0
WORTH_BY_PRIORITY = (4.0, 3.0, 1.0)
# A late job has this share of its value on time.
LATE_VALUE_SHARE = 0.3
# A job that takes longer than this many times its objective has no value any more.
MAX_LATENESS_FACTOR = 3.0


def job_value(priority: int) -> float:
    """Returns the value of a job that is on time, in core-seconds."""
    worth = WORTH_BY_PRIORITY[min(priority, len(WORTH_BY_PRIORITY) - 1)]
    return worth * CORE_SECONDS_PER_WORTH


def value_at(priority: int, end_s: float, on_time_by_s: float, worthless_after_s: float) -> float:
    """Returns the value of a job that ends at `end_s`, in core-seconds.

    The job is on time until `on_time_by_s` and has no value after `worthless_after_s`.
    """
    if end_s <= on_time_by_s:
        return job_value(priority)
    return job_value(priority) * LATE_VALUE_SHARE if end_s <= worthless_after_s else 0.0
