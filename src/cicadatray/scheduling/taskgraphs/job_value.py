"""What jobs are worth to their callers, in core-seconds of work.

The users' sheets price a core-second of wasted work at 0.0023, where a job of the queues with
priority 0, 1 and 2 is worth 4, 3 and 1 when it is on time, and a fifth to a third of that later.
"""

CORE_SECONDS_PER_WORTH = 435.0
WORTH_BY_PRIORITY = (4.0, 3.0, 1.0)
# The share of its worth that a late job keeps.
LATE_SHARE = 0.3
# A job that ends later than this many times its objective is worth nothing any more.
MAX_LATENESS_FACTOR = 3.0


def job_value(priority: int) -> float:
    """Returns what a job of this priority is worth when it is on time."""
    worth = WORTH_BY_PRIORITY[min(priority, len(WORTH_BY_PRIORITY) - 1)]
    return worth * CORE_SECONDS_PER_WORTH


def value_at(priority: int, end_s: float, on_time_s: float, late_s: float) -> float:
    """Returns what a job is worth that ends at `end_s`.

    `on_time_s` is the end of its objective, `late_s` when it is worth nothing any more.
    """
    if end_s <= on_time_s:
        return job_value(priority)
    return job_value(priority) * LATE_SHARE if end_s <= late_s else 0.0
