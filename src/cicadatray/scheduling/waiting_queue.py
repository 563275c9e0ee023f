"""Waiting jobs by client account and shape."""

from bisect import bisect_left, insort

from cicadatray.scheduling.job import Job
from cicadatray.scheduling.shape import Shape


class WaitingQueue:
    """Arrival order within each account and shape.

    A round of placement looks at one job per account and shape, so its cost grows with the shapes
    that are waited for and not with the number of waiting jobs.
    """

    __slots__ = ("accounts", "jobs")

    def __init__(self) -> None:
        self.accounts: dict[str, dict[Shape, list[int]]] = {}
        self.jobs: dict[int, Job] = {}

    def add(self, job: Job) -> None:
        """Files a job at its place by arrival, also when it waits again."""
        if job.sequence in self.jobs:
            return
        self.jobs[job.sequence] = job
        shapes = self.accounts.setdefault(job.request.client_account, {})
        insort(shapes.setdefault(job.request.shape, []), job.sequence)

    def remove(self, job: Job) -> None:
        """Takes a job out; one that does not wait is ignored."""
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
        """Returns the first job of each shape that is neither held back nor known not to fit."""
        found = []
        for shape, sequences in self.accounts.get(account, {}).items():
            if shape in unplaceable:
                continue
            sequence = next((s for s in sequences if s not in delayed), None)
            if sequence is not None:
                found.append(self.jobs[sequence])
        return found

    def oldest_jobs(self) -> list[Job]:
        """Returns the first job of each account and shape, by arrival."""
        firsts = [seqs[0] for shapes in self.accounts.values() for seqs in shapes.values()]
        return [self.jobs[sequence] for sequence in sorted(firsts)]
