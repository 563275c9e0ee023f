"""A stand-in for a worker of the platform that runs tasks under leases."""

import asyncio

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cicadatray.internal.agent.worker_client import (
    ReserveOrder,
    TaskOrder,
    WorkerTask,
    WorkerTasks,
)
from cicadatray.internal.boot_time_loop import BootTimeLoop
from cicadatray.internal.standins.http_standin import serve_until_stopped, standin_parser
from cicadatray.internal.standins.journal import Journal
from cicadatray.internal.standins.worker_task import (
    FAILED,
    FINISHED,
    RUNNING,
    STOPPED,
    StandinTask,
)

LEASE_CHECK_INTERVAL_S = 0.05
CHECKPOINT_DURATION_S = 0.2
USAGE_LAG_S = 0.5  # the reported run times are out of date by this much


class TaskPayload(msgspec.Struct):
    """The instructions for the stand-in in the payload of a job."""

    run_s: float = 1.0
    fail: bool = False


class WorkerStandin:
    """A worker that stops tasks whose lease has expired and records every start and end."""

    __slots__ = ("accelerators", "fail_all", "journal", "tasks")

    def __init__(self, journal: Journal, accelerators: int, fail_all: bool) -> None:
        self.journal = journal
        self.accelerators = accelerators
        self.fail_all = fail_all
        self.tasks: dict[str, StandinTask] = {}

    async def enforce_leases(self) -> None:
        """Stops tasks whose leases have expired, until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            for task in list(self.tasks.values()):
                if task.holds_accelerators() and now_s > task.lease_until_s:
                    self._end(task, STOPPED, "lease_over")
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    async def reserve(self, request: Request) -> Response:
        """Reserves accelerators for a task."""
        order = msgspec.json.decode(await request.body(), type=ReserveOrder)
        task_id = request.path_params["task_id"]
        existing = self.tasks.get(task_id)
        if existing is not None and existing.epoch > order.epoch:
            return Response("lower epoch", 409)
        if existing is not None and existing.holds_accelerators():
            self._end(existing, STOPPED, "replaced")
        reserved = sum(
            other.accelerators for other in self.tasks.values() if other.holds_accelerators()
        )
        if reserved + order.accelerators > self.accelerators:
            return Response("not enough accelerators", 409)
        task = StandinTask(task_id, order.epoch, order.accelerators, order.payload)
        task.lease_until_s = order.lease_until_s
        self.tasks[task_id] = task
        return Response("")

    async def execute_order(self, request: Request) -> Response:
        """Executes an order for one task."""
        order = msgspec.json.decode(await request.body(), type=TaskOrder)
        verb = request.path_params["verb"]
        task = self.tasks.get(request.path_params["task_id"])
        if verb == "stop":
            return self._stop(task, order)
        if task is None or task.epoch != order.epoch:
            return Response("no such task", 404)
        if verb == "start":
            return self._start(task)
        if verb == "renew":
            task.lease_until_s = order.lease_until_s
        elif verb == "checkpoint":
            await asyncio.sleep(CHECKPOINT_DURATION_S)
            self.journal.record("checkpointed", task.task_id, task.epoch, task.accelerators)
        return Response("")

    def _stop(self, task: StandinTask | None, order: TaskOrder) -> Response:
        if task is not None and task.epoch <= order.epoch and task.holds_accelerators():
            self._end(task, STOPPED, "stopped")
        return Response("")

    async def list_tasks(self, request: Request) -> Response:
        """Returns all tasks, including ended ones, with their states and run times."""
        now_s = asyncio.get_running_loop().time()
        worker_tasks = []
        for task in self.tasks.values():
            run_s = max(0.0, now_s - task.started_s - USAGE_LAG_S) if task.started_s else 0.0
            worker_tasks.append(WorkerTask(task.task_id, task.epoch, task.state, run_s))
        body = msgspec.json.encode(WorkerTasks(tuple(worker_tasks)))
        return Response(body, media_type="application/json")

    def _start(self, task: StandinTask) -> Response:
        if not task.holds_accelerators():
            return Response("the task has ended", 409)
        if task.state != RUNNING:
            task.state = RUNNING
            task.started_s = asyncio.get_running_loop().time()
            self.journal.record("started", task.task_id, task.epoch, task.accelerators)
            task.runner = asyncio.create_task(self._run(task))
        return Response("")

    async def _run(self, task: StandinTask) -> None:
        payload = msgspec.json.decode(task.payload or "{}", type=TaskPayload)
        if payload.fail or self.fail_all:
            await asyncio.sleep(0.05)
            task.runner = None
            self._end(task, FAILED, "failed")
            return
        await asyncio.sleep(payload.run_s)
        task.runner = None
        self._end(task, FINISHED, "finished")

    def _end(self, task: StandinTask, state: str, event: str) -> None:
        if task.runner is not None:
            task.runner.cancel()
        was_running = task.state == RUNNING
        task.state = state
        if was_running:
            self.journal.record(event, task.task_id, task.epoch, task.accelerators)


async def serve(host: str, port: int, standin: WorkerStandin) -> None:
    """Serves and enforces leases until SIGTERM."""
    routes = [
        Route("/tasks", standin.list_tasks, methods=["GET"]),
        Route("/tasks/{task_id}", standin.reserve, methods=["PUT"]),
        Route("/tasks/{task_id}/{verb}", standin.execute_order, methods=["POST"]),
    ]
    lease_enforcement = asyncio.create_task(standin.enforce_leases())
    await serve_until_stopped(Starlette(routes=routes), host, port)
    lease_enforcement.cancel()


def main() -> None:
    """Runs the stand-in worker."""
    parser = standin_parser("Stand-in worker")
    parser.add_argument("--accelerators", type=int, default=8)
    arguments = parser.parse_args()
    journal = Journal(arguments.journal, arguments.name)
    standin = WorkerStandin(journal, arguments.accelerators, arguments.fail_all)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        runner.run(serve(arguments.host, arguments.port, standin))


if __name__ == "__main__":
    main()
