"""Candidates for urgent work that avoid cold workers."""

from cicadatray.scheduling.taskgraphs.job_value import URGENT_PRIORITY
from cicadatray.scheduling.taskgraphs.rules.candidate_rule import CandidateRule
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity


def warm_first(
    rule: CandidateRule, work: WaitingWork, usable: list[WorkerCapacity]
) -> list[list[WorkerCapacity]]:
    """Returns the sets of workers that may take the work, the preferred one first.

    For urgent work the sets without cold workers come first. Other work fills cold workers as any.
    """
    groups = rule.groups(work, usable)
    warm = [worker for worker in usable if not worker.is_cold]
    if work.priority != URGENT_PRIORITY or not warm or len(warm) == len(usable):
        return groups
    return [*rule.groups(work, warm), *groups]
