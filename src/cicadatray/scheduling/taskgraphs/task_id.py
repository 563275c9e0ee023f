"""Names of tasks."""

import msgspec


class TaskId(msgspec.Struct, frozen=True, array_like=True):
    """One task of one occurrence of a graph; `occurrence` is 0 for a graph that is not repeated."""

    graph_id: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def from_key(cls, graph_id: str, key: str) -> "TaskId":
        """Returns the task that has this key inside a graph."""
        occurrence, step, index = key.split(".")
        return cls(graph_id, int(occurrence), int(step), int(index))

    @property
    def key(self) -> str:
        """Name of the task inside its graph."""
        return f"{self.occurrence}.{self.step}.{self.index}"

    def __str__(self) -> str:
        return f"{self.graph_id}.{self.key}"


class TaskRun(msgspec.Struct, frozen=True, array_like=True):
    """One start of a task; `run` rises with every start."""

    task: TaskId
    run: int
