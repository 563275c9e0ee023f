"""Counts over the tasks of one graph, kept up to date as runs begin and end."""

from collections import Counter
from collections.abc import Mapping
from typing import TypeVar

KeyType = TypeVar("KeyType")
# An occurrence and a step.
StepKey = tuple[int, int]
NO_WORKERS: Mapping[str, int] = {}


class GraphIndex:
    """Counts that would otherwise take a pass over all tasks of a graph.

    They follow from the durable record and are not stored. `runs_by_worker` holds, for each step,
    how many runs may exist on each worker, and `runs_by_number` how many with each number.
    `suspects` holds the indexes of the tasks that may crash a worker. `done_steps` counts the steps
    of all occurrences whose tasks are all done.
    """

    __slots__ = ("done_steps", "runs", "runs_by_number", "runs_by_worker", "suspects")

    def __init__(self) -> None:
        self.runs = 0
        self.runs_by_worker: dict[StepKey, Counter[str]] = {}
        self.runs_by_number: Counter[tuple[int, int, int]] = Counter()
        self.suspects: dict[StepKey, set[int]] = {}
        self.done_steps = 0

    def add_run(self, step: StepKey, run: int, worker_id: str) -> None:
        """Counts a run that may exist from now on."""
        self.runs += 1
        self.runs_by_worker.setdefault(step, Counter())[worker_id] += 1
        self.runs_by_number[(*step, run)] += 1

    def remove_run(self, step: StepKey, run: int, worker_id: str) -> None:
        """Removes a run that has certainly ended."""
        self.runs -= 1
        on_workers = self.runs_by_worker[step]
        _decrement(on_workers, worker_id)
        if not on_workers:
            del self.runs_by_worker[step]
        _decrement(self.runs_by_number, (*step, run))

    def mark_suspect(self, step: StepKey, index: int, is_suspect: bool) -> None:
        """Records whether a task may crash the worker that starts it."""
        if is_suspect:
            self.suspects.setdefault(step, set()).add(index)
        elif step in self.suspects:
            self.suspects[step].discard(index)

    def workers(self) -> set[str]:
        """Returns the workers on which runs may exist."""
        return {worker_id for counts in self.runs_by_worker.values() for worker_id in counts}

    def workers_of(self, step: StepKey) -> Mapping[str, int]:
        """Returns how many runs of a step may exist on each worker that may have one."""
        return self.runs_by_worker.get(step, NO_WORKERS)


def _decrement(counts: Counter[KeyType], key: KeyType) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
