"""The durable progress of a graph."""

from collections.abc import Mapping
from functools import cached_property

import msgspec

from cicadatray.scheduling.taskgraphs.crash_record import CrashRecord
from cicadatray.scheduling.taskgraphs.graph_index import GraphIndex
from cicadatray.scheduling.taskgraphs.run_outcome import RunOutcome
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph
from cicadatray.scheduling.taskgraphs.task_id import TaskId


class TaskProgress(msgspec.Struct, array_like=True):
    """The durable record of one task that was started at least once.

    `run` is the number of the latest run. `worker_id` names the worker on which that run may exist,
    and is empty once the run has certainly ended. `crashes` counts the workers that crashed under
    the task.
    """

    run: int = 0
    worker_id: str = ""
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ""
    crashes: CrashRecord = msgspec.field(default_factory=CrashRecord)


class StepProgress(msgspec.Struct, array_like=True):
    """Counters of one step of one occurrence.

    `failed_run` is the latest run that was counted as a failure of the gang.
    """

    done: int = 0
    gang_failures: int = 0
    failed_run: int = 0


class GraphProgress(msgspec.Struct, dict=True):
    """The durable record of one accepted graph. Times are in seconds since 1970.

    `tasks` holds the tasks that were started, by `TaskId.key`. `steps` holds the counters of steps
    by "occurrence.step".
    """

    graph: TaskGraph
    accepted_s: float
    tasks: dict[str, TaskProgress] = {}
    steps: dict[str, StepProgress] = {}
    is_cancelled: bool = False
    failure: str = ""
    has_begun: bool = False
    ended_s: float = 0.0

    @property
    def is_active(self) -> bool:
        """Whether tasks may still be started."""
        return not self.is_cancelled and not self.failure and not self.ended_s

    @cached_property
    def index(self) -> GraphIndex:
        """Counts over the tasks, which are not part of the encoded record."""
        index = GraphIndex()
        for key, task in self.tasks.items():
            if not task.worker_id and not task.crashes.is_suspect:
                continue
            task_id = TaskId.from_key(self.graph.graph_id, key)
            if task.worker_id:
                index.add_run(task_id.step_key, task.run, task.worker_id)
            index.mark_suspect(task_id.step_key, task_id.index, task.crashes.is_suspect)
        index.done_steps = sum(
            counts.done >= self.graph.steps[int(key.partition(".")[2])].count
            for key, counts in self.steps.items()
        )
        return index

    @property
    def has_runs(self) -> bool:
        """Whether any run of the graph may exist."""
        return self.index.runs > 0

    def runs_by_worker(self, occurrence: int, step: int) -> Mapping[str, int]:
        """Returns how many runs of a step may exist on each worker that may have one."""
        return self.index.workers_of((occurrence, step))

    def is_gang_complete(self, task: TaskId, run: int) -> bool:
        """Returns whether a run of each member of the task's gang may exist under this number."""
        return self.index.runs_by_number[(*task.step_key, run)] == self.graph.steps[task.step].count

    def task(self, occurrence: int, step: int, index: int) -> TaskProgress | None:
        """Returns the record of a task, or None if it was never started."""
        return self.tasks.get(f"{occurrence}.{step}.{index}")

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        progress = self.steps.get(f"{occurrence}.{step}")
        return progress is not None and progress.done >= self.graph.steps[step].count

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Returns whether all steps of an occurrence are done."""
        return all(self.is_step_done(occurrence, step) for step in range(len(self.graph.steps)))

    def record_start(self, task: TaskId, run: int, worker_id: str) -> bool:
        """Records that a run is about to be ordered.

        Returns False, without recording it, when the graph has ended, the task is done, an earlier
        run may still exist, or `run` is not higher than the latest one.
        """
        if not self.is_active:
            return False
        progress = self.tasks.setdefault(task.key, TaskProgress())
        if progress.worker_id or progress.is_done or run <= progress.run:
            return False
        index = self.index
        progress.run = run
        progress.worker_id = worker_id
        index.add_run(task.step_key, run, worker_id)
        self.has_begun = True
        return True

    def record_end(
        self,
        task: TaskId,
        run: int,
        worker_id: str,
        outcome: RunOutcome,
        checkpoint: str,
        observed_s: float = 0.0,
        agent_id: str = "",
    ) -> bool:
        """Records the end of a run; returns False if it is not the current run of the task.

        `observed_s` is for how long a worker that crashed certainly had the run, in seconds, and
        `agent_id` names the agent of that worker.
        """
        progress = self.tasks.get(task.key)
        if progress is None or progress.run != run or progress.worker_id != worker_id:
            return False
        self.index.remove_run(task.step_key, run, worker_id)
        progress.worker_id = ""
        if checkpoint:
            self._store_checkpoint(task, checkpoint)
        if outcome is RunOutcome.DONE:
            self._record_done(task)
        elif outcome is RunOutcome.FAILED:
            self._record_failure(task, progress, run)
        elif outcome is RunOutcome.CRASHED:
            self._record_crash(task, progress, observed_s, agent_id)
        return True

    def record_checkpoint(self, task: TaskId, run: int, checkpoint: str) -> None:
        """Records a checkpoint from which a run that is still running can be resumed."""
        progress = self.tasks.get(task.key)
        if progress is not None and progress.run == run and progress.worker_id:
            self._store_checkpoint(task, checkpoint)

    def is_suspect(self, task: TaskId) -> bool:
        """Returns whether a task, or a member of its gang, may crash the worker that starts it."""
        progress = self.tasks.get(task.key)
        if progress is not None and progress.crashes.is_suspect:
            return True
        return self.graph.steps[task.step].is_gang and bool(self.index.suspects.get(task.step_key))

    def finish_if_done(self, now_s: float) -> None:
        """Ends the graph when every task of every occurrence is done."""
        if self.index.done_steps < self.graph.occurrences * len(self.graph.steps):
            return
        if self.is_active and not any(step.is_long_running for step in self.graph.steps):
            self.ended_s = now_s

    def _store_checkpoint(self, task: TaskId, checkpoint: str) -> None:
        """Stores a checkpoint; all members of a gang restart from the same one."""
        if not self.graph.steps[task.step].is_gang:
            self.tasks[task.key].checkpoint = checkpoint
            return
        for index in range(self.graph.steps[task.step].count):
            member = self.tasks.get(f"{task.occurrence}.{task.step}.{index}")
            if member is not None:
                member.checkpoint = checkpoint

    def _record_done(self, task: TaskId) -> None:
        step = self.graph.steps[task.step]
        if step.is_long_running:
            return
        indexes = range(step.count) if step.is_gang else (task.index,)
        counts = self.steps.setdefault(f"{task.occurrence}.{task.step}", StepProgress())
        if counts.done >= step.count:
            return
        for index in indexes:
            member = self.tasks.setdefault(f"{task.occurrence}.{task.step}.{index}", TaskProgress())
            if not member.is_done:
                member.is_done = True
                counts.done += 1
        self.index.done_steps += counts.done >= step.count

    def _record_failure(self, task: TaskId, progress: TaskProgress, run: int) -> None:
        step = self.graph.steps[task.step]
        if step.is_long_running or progress.is_done:
            return
        counts = self.steps.setdefault(f"{task.occurrence}.{task.step}", StepProgress())
        if step.is_gang:
            if run > counts.failed_run:
                counts.failed_run = run
                counts.gang_failures += 1
            attempts = counts.gang_failures
        else:
            progress.failures += 1
            attempts = progress.failures
        if attempts >= self.graph.policy.max_attempts and not self.failure:
            self.failure = f"task {task.key} failed {attempts} times"

    def _record_crash(
        self, task: TaskId, progress: TaskProgress, observed_s: float, agent_id: str
    ) -> None:
        if progress.is_done:
            return
        crashes = progress.crashes
        crashes.add(observed_s, agent_id)
        self.index.mark_suspect(task.step_key, task.index, crashes.is_suspect)
        is_long_running = self.graph.steps[task.step].is_long_running
        if crashes.is_exhausted(is_long_running) and not self.failure:
            self.failure = f"{crashes.total} workers crashed under task {task.key}"
