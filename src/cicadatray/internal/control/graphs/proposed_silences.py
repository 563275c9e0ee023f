"""The silences of workers that this instance has proposed and that may not be committed yet."""

from collections.abc import Iterable


class ProposedSilences:
    """Tracks the proposals of all sessions of this process.

    A leader whose command does not commit in time begins a new session, in the same term if no
    other instance was elected, and the command may still commit at any later time. So that no lease
    is granted ahead of such a commit, a silence counts as proposed until a later command of this
    process has committed. Commands of one term are appended in the order of their proposals, so the
    outcome of the silence is in the replicated state by then.

    This need not be durable: a term has one leader, a process that restarts never leads in the same
    term again, and commands of earlier terms are committed or discarded before a leader begins.

    `numbers` holds the number of the latest proposal that names each worker.
    """

    __slots__ = ("last_number", "numbers")

    def __init__(self) -> None:
        self.last_number = 0
        self.numbers: dict[str, int] = {}

    def add(self, worker_ids: Iterable[str]) -> int:
        """Adds workers before their silences are proposed; returns the number of the proposal."""
        self.last_number += 1
        for worker_id in worker_ids:
            self.numbers[worker_id] = self.last_number
        return self.last_number

    def find(self, worker_id: str) -> int:
        """Returns the number of the latest proposal that names a worker, or 0."""
        return self.numbers.get(worker_id, 0)

    def settle(self, number: int) -> None:
        """Removes all proposals up to one whose commit has been applied."""
        self.numbers = {w: n for w, n in self.numbers.items() if n > number}

    def settle_worker(self, worker_id: str, number: int) -> None:
        """Removes the proposals up to `number` that name a worker."""
        if self.find(worker_id) <= number:
            self.numbers.pop(worker_id, None)
