"""A job as a graph of steps."""

import msgspec

from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.step import Step


class Repetition(msgspec.Struct, frozen=True, array_like=True):
    """Occurrence k is due at `first_due_s + k * interval_s`, in seconds since 1970."""

    count: int
    first_due_s: float
    interval_s: float


class TaskGraph(msgspec.Struct, frozen=True, array_like=True):
    """`spec` is handed to every task as it is.

    `policy` is what the graph's queue said when the graph was accepted, so that a later change of
    the queue does not move a job to other workers or cut its attempts.
    """

    graph_id: str
    client_account: str
    policy: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return self.repetition.count if self.repetition else 1

    def due_s(self, occurrence: int) -> float:
        """Returns when an occurrence may start, in seconds since 1970; 0 without repetition."""
        if self.repetition is None:
            return 0.0
        return self.repetition.first_due_s + occurrence * self.repetition.interval_s

    def critical_path_s(self) -> float:
        """Returns the longest chain of estimates through the graph."""
        return max(self._critical_paths_s(), default=0.0)

    def objective_s(self) -> float:
        """Returns how long one turn of the graph may take to be on time."""
        return self.policy.stretch * self.critical_path_s() + self.policy.target_latency_s

    def critical_path_from_s(self, step: int) -> float:
        """Returns the longest chain of estimates that begins with a step."""
        return self._critical_paths_s()[step]

    def _critical_paths_s(self) -> list[float]:
        chains = [0.0] * len(self.steps)
        for number in range(len(self.steps) - 1, -1, -1):
            followers = [
                chains[later]
                for later in range(number + 1, len(self.steps))
                if number in self.steps[later].depends_on
            ]
            chains[number] = self.steps[number].estimate_s + max(followers, default=0.0)
        return chains
