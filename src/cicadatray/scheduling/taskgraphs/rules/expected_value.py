"""The value of jobs under estimates that are uncertain, in core-seconds."""

import math

from cicadatray.scheduling.taskgraphs.job_value import (
    LATE_VALUE_SHARE,
    MAX_LATENESS_FACTOR,
    job_value,
)
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# Standard deviation of the log of true durations divided by estimates (load sheets of the users).
ESTIMATE_LOG_ERROR = 0.5


def value_of_start(work: WaitingWork, start_s: float) -> float:
    """Returns the expected value of the job if the work starts at a time, in seconds since 1970.

    The job's objective is a multiple of its true duration. So a job that takes longer than its
    estimate can also start later.
    """
    graph = work.graph.graph
    waited_s = start_s - (graph.due_s(work.occurrence) or work.graph.accepted_s)
    path_s = graph.critical_path_from_s(work.step_number, work.waves)
    latency_s = graph.policy.target_latency_s
    stretched_s = graph.objective_s(work.waves) - latency_s

    def chance(lateness: float) -> float:
        slack_s = lateness * stretched_s - path_s
        return chance_of_ratio(slack_s, waited_s - lateness * latency_s)

    late, on_time = chance(MAX_LATENESS_FACTOR), chance(1.0)
    return job_value(work.priority) * (LATE_VALUE_SHARE * late + (1 - LATE_VALUE_SHARE) * on_time)


def chance_of_ratio(allowed_s: float, needed_s: float) -> float:
    """Returns the probability that `allowed_s`, scaled by the error of an estimate, is enough."""
    if needed_s <= 0.0:
        return 1.0
    if allowed_s <= 0.0:
        return 0.0
    return 0.5 * (
        1 + math.erf(math.log(allowed_s / needed_s) / (ESTIMATE_LOG_ERROR * math.sqrt(2)))
    )
