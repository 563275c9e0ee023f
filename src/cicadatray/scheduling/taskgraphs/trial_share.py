"""The share of a pool on which suspect tasks may be on trial."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

# The share of a pool that may be on trial at a time; the workers of one trial always may.
MAX_TRIAL_SHARE = 0.5


def may_begin_trials(
    workers: Sequence[WorkerCapacity], work: WaitingWork, chosen: Sequence[WorkerCapacity]
) -> bool:
    """Returns whether `chosen` may be on trial beside those of their pool that already are."""
    pool = [worker for worker in workers if worker.pool == work.graph.graph.policy.pool]
    on_trial = sum(worker.is_on_trial for worker in pool)
    wanted = len({worker.worker_id for worker in chosen})
    return not on_trial or on_trial + wanted <= int(len(pool) * MAX_TRIAL_SHARE)
