"""Builders of workers, graphs and work for placement tests."""

from collections.abc import Sequence

from cicadatray.scheduling.taskgraphs.graph_progress import GraphProgress
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork
from cicadatray.scheduling.taskgraphs.worker_capacity import WorkerCapacity

CAPACITY = Resources(64_000, 128_000, 8)
ONE = Resources(5_000, 8_000, 1)
HALF = Resources(26_000, 68_000, 4)
URGENT = Resources(7_500, 15_000, 4)
WHOLE = Resources(26_000, 68_000, 8)
STRETCH = {0: 1.5, 1: 3.0, 2: 3.0}


def make_workers(racks: Sequence[int]) -> list[WorkerCapacity]:
    """Returns workers w0, w1, ...; `racks` gives the number of workers in each rack."""
    workers = []
    for rack, count in enumerate(racks):
        for _ in range(count):
            name = f"w{len(workers)}"
            workers.append(WorkerCapacity(name, "pool", f"r{rack}", frozenset(("a",)), CAPACITY))
    return workers


def make_graph(graph_id: str, step: Step, priority: int, accepted_s: float = 0.0) -> GraphProgress:
    """Returns the progress of a new graph with one step."""
    policy = QueuePolicy("queue", "pool", priority, 3, STRETCH[priority], 0.25)
    return GraphProgress(TaskGraph(graph_id, "account", policy, "spec", (step,)), accepted_s)


def make_waiting(
    step: Step, priority: int, accepted_s: float = 0.0, graph_id: str = "waits"
) -> list[WaitingWork]:
    """Returns the waiting work of a new graph: one gang, or every task."""
    graph = make_graph(graph_id, step, priority, accepted_s)
    if step.is_gang:
        return [WaitingWork(graph, 0, 0, tuple(range(step.count)), 1, accepted_s)]
    return [WaitingWork(graph, 0, 0, (index,), 1, accepted_s) for index in range(step.count)]


def make_running(
    workers: Sequence[WorkerCapacity],
    places: Sequence[tuple[str, Resources]],
    graph_id: str = "runs",
    priority: int = 2,
    elapsed_s: float = 5.0,
    percent: int = 50,
    is_checkpointable: bool = False,
    is_long_running: bool = False,
) -> RunningWork:
    """Returns a gang or single task that runs on the given workers and occupies their capacity."""
    work = RunningWork(graph_id, priority, is_checkpointable, 10.0, elapsed_s, percent)
    work.set_deadlines(100.0, 300.0)
    work.is_long_running = is_long_running
    workers_by_id = {worker.worker_id: worker for worker in workers}
    for index, (worker_id, demand) in enumerate(places):
        workers_by_id[worker_id].occupy(demand)
        work.add(TaskRun(TaskId(graph_id, 0, 0, index), 1), worker_id, demand)
    return work
