"""Identifiers of tasks and runs."""

import msgspec


class TaskId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one task of one occurrence of a graph.

    `occurrence` is 0 for a graph that is not repeated.
    """

    graph_id: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def from_key(cls, graph_id: str, key: str) -> "TaskId":
        """Returns the task with this key within a graph."""
        occurrence, step, index = key.split(".")
        return cls(graph_id, int(occurrence), int(step), int(index))

    @property
    def key(self) -> str:
        """The key of the task within its graph."""
        return f"{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_key(self) -> tuple[int, int]:
        """The occurrence and the step of the task."""
        return (self.occurrence, self.step)

    def __str__(self) -> str:
        return f"{self.graph_id}.{self.key}"


class TaskRun(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one start of a task; `run` increases with every start."""

    task: TaskId
    run: int
