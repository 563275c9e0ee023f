"""The queue of waiting jobs by client account and shape."""

from bisect import bisect_left, insort

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.shape import Shape


class WaitingQueue:
    """Orders waiting jobs by arrival within each account and shape.

    A placement round considers one job per account and shape, so its cost grows with the number of
    these and not with the number of waiting jobs.
    """

    __slots__ = ("accounts", "jobs")

    def __init__(self) -> None:
        self.accounts: dict[str, dict[Shape, list[int]]] = {}
        self.jobs: dict[int, Job] = {}

    def add(self, job: Job) -> None:
        """Inserts a job in arrival order, also when it is requeued."""
        if job.sequence in self.jobs:
            return
        self.jobs[job.sequence] = job
        shapes = self.accounts.setdefault(job.request.client_account, {})
        insort(shapes.setdefault(job.request.shape, []), job.sequence)

    def remove(self, job: Job) -> None:
        """Removes a job; a job that is not in the queue is ignored."""
        if self.jobs.pop(job.sequence, None) is None:
            return
        shapes = self.accounts[job.request.client_account]
        sequences = shapes[job.request.shape]
        sequences.pop(bisect_left(sequences, job.sequence))
        if not sequences:
            del shapes[job.request.shape]
        if not shapes:
            del self.accounts[job.request.client_account]

    def head_jobs(self, account: str, delayed: set[int], unplaceable: set[Shape]) -> list[Job]:
        """Returns the first job of each shape, without delayed jobs and unplaceable shapes."""
        heads = []
        for shape, sequences in self.accounts.get(account, {}).items():
            if shape in unplaceable:
                continue
            sequence = next((s for s in sequences if s not in delayed), None)
            if sequence is not None:
                heads.append(self.jobs[sequence])
        return heads

    def oldest_jobs(self) -> list[Job]:
        """Returns the first job of each account and shape, in arrival order."""
        firsts = [seqs[0] for shapes in self.accounts.values() for seqs in shapes.values()]
        return [self.jobs[sequence] for sequence in sorted(firsts)]
