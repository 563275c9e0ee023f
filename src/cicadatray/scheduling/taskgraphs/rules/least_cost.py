"""Ranking that chooses which jobs are late when not all can be on time."""

import heapq
from collections.abc import Iterator, Sequence

from cicadatray.scheduling.taskgraphs.job_value import LATE_VALUE_SHARE, job_value
from cicadatray.scheduling.taskgraphs.passed_over_job import PassedOverJob
from cicadatray.scheduling.taskgraphs.rules.job_sizes import JobSizes
from cicadatray.scheduling.taskgraphs.rules.passed_over_memory import PassedOverMemory
from cicadatray.scheduling.taskgraphs.rules.projected_schedule import (
    ProjectedSchedule,
    accelerator_seconds,
)
from cicadatray.scheduling.taskgraphs.rules.ranking_rule import RankingRule, rankings
from cicadatray.scheduling.taskgraphs.rules.round_view import RoundView
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

Rank = tuple[bool, int, bool, bool, float, float]
# At most this many jobs are reported as passed over in one round.
MAX_REPORTED = 5


class _WaitingJob:
    """The waiting work of one step of a job; `works` is the number of gangs or tasks.

    `is_fixed`: its place does not depend on its value, because it is guaranteed, suspect, has
    displaced other work, has no accelerators, or is late already.
    """

    __slots__ = (
        "demand",
        "density",
        "due_s",
        "first",
        "graph_id",
        "is_fixed",
        "pool",
        "rank",
        "works",
    )

    def __init__(self, first: WaitingWork, rank: Rank) -> None:
        self.graph_id = first.graph.graph.graph_id
        self.pool = first.graph.graph.policy.pool
        self.first = first
        self.works = 0
        self.rank = rank
        self.demand = 0.0
        self.density = 0.0
        self.due_s = 0.0
        self.is_fixed = True


@rankings.register("least_cost")
class LeastCostRanking(RankingRule):
    """Orders work by `WaitingWork.rank`; jobs that cost callers least go behind those on time.

    While the projected schedule of a pool has all jobs on time, nothing changes. Otherwise, in the
    order of ranks, the job of the lowest value for its work is passed over until the others are
    on time (weighted Moore-Hodgson). A job that was passed over for `MAX_PASSED_OVER_S` goes first
    within its priority, one at a time.
    """

    __slots__ = ("memory", "sizes")

    def __init__(self, view: RoundView) -> None:
        super().__init__(view)
        self.sizes = view.memory.get(JobSizes)
        self.memory = view.memory.get(PassedOverMemory)

    def iterate(self, waiting: Sequence[WaitingWork]) -> Iterator[WaitingWork | None]:
        """Yields the work by its rank, with the jobs passed over behind those on time."""
        self.sizes.observe(waiting)
        job_of = self._group(waiting)
        jobs = sorted(dict.fromkeys(job_of), key=lambda job: job.rank)
        passed_over: set[str] = set()
        for pool in dict.fromkeys(job.pool for job in jobs):
            passed_over |= self._pass_over(pool, [job for job in jobs if job.pool == pool])
        exhausted = self._next_exhausted(jobs)
        self._remember(jobs, passed_over)
        for job in jobs:
            worthless, priority, unguaranteed, _, displaced_s, latest_s = job.rank
            if job.graph_id in exhausted:
                job.rank = (worthless, priority, unguaranteed, False, 0.0, latest_s)
            elif job.graph_id in passed_over and not job.is_fixed:
                job.rank = (worthless, priority, unguaranteed, True, displaced_s, latest_s)
        # The order among equals is that of the input, as for `latest_start`.
        ranked = sorted(zip(job_of, waiting, strict=True), key=lambda pair: pair[0].rank)
        for _, work in ranked:
            yield work

    def _remember(self, jobs: Sequence[_WaitingJob], passed_over: set[str]) -> None:
        """Keeps the times of jobs until they no longer wait, so that they do not begin anew."""
        since_s = self.memory.since_s
        waiting_graphs = {job.graph_id for job in jobs}
        self.memory.since_s = {
            graph_id: since_s.get(graph_id, self.view.now_s)
            for graph_id in dict.fromkeys((*since_s, *sorted(passed_over)))
            if graph_id in waiting_graphs
        }

    def _group(self, waiting: Sequence[WaitingWork]) -> list[_WaitingJob]:
        """Returns, for each work, the job of its step; suspect tasks have a rank of their own."""
        steps: dict[tuple[str, int, int, bool], _WaitingJob] = {}
        job_of = []
        for work in waiting:
            is_suspect = work.is_suspect
            key = (work.graph.graph.graph_id, work.occurrence, work.step_number, is_suspect)
            job = steps.get(key)
            if job is None:
                job = steps[key] = _WaitingJob(work, work.rank(self.view.now_s))
            job.works += 1 + len(work.followers)
            job_of.append(job)
        for job in steps.values():
            self._evaluate(job)
        return job_of

    def _evaluate(self, job: _WaitingJob) -> None:
        work = job.first
        worthless, _, unguaranteed, late, displaced_s, latest_s = job.rank
        job.demand = job.works * accelerator_seconds(work)
        job.due_s = latest_s + work.step.estimate_s - self.view.now_s
        is_free = unguaranteed and not worthless and not late and displaced_s == float("inf")
        job.is_fixed = not is_free or work.is_suspect or job.demand <= 0
        if job.demand > 0:
            value = job_value(work.priority) * self.sizes.worth_factor(job.graph_id)
            job.density = (1 - LATE_VALUE_SHARE) * value / job.demand

    def _pass_over(self, pool: str, jobs: list[_WaitingJob]) -> set[str]:
        """Returns the graphs of one pool that are passed over in this round."""
        workers = [worker for worker in self.view.workers if worker.pool == pool]
        schedule = ProjectedSchedule(workers, self.view.running)
        # Candidates by priority, the lowest density first; a heap, because thousands may wait.
        candidates: dict[int, list[tuple[float, int, _WaitingJob]]] = {}
        passed: dict[str, tuple[_WaitingJob, _WaitingJob, float]] = {}
        demand = 0.0
        for number, job in enumerate(jobs):
            if job.rank[0] or job.rank[3]:
                continue
            if self._is_held(job, demand, schedule):
                passed[job.graph_id] = (job, job, 0.0)
                continue
            demand += job.demand
            if job.is_fixed:
                continue
            heap = candidates.setdefault(job.rank[1], [])
            if not self.memory.is_exhausted(job.graph_id, self.view.now_s):
                heapq.heappush(heap, (job.density, number, job))
            while heap and (lateness_s := schedule.end_s(demand) - job.due_s) > 0:
                victim = heapq.heappop(heap)[2]
                demand -= victim.demand
                passed[victim.graph_id] = (victim, job, lateness_s)
        self._report(passed)
        return set(passed)

    def _is_held(self, job: _WaitingJob, demand: float, schedule: ProjectedSchedule) -> bool:
        """Returns whether the job was passed over a moment ago and is not on time by a margin."""
        if job.is_fixed or not self.memory.is_held(job.graph_id, self.view.now_s):
            return False
        return schedule.end_s(demand + job.demand) > job.due_s / 2

    def _next_exhausted(self, jobs: list[_WaitingJob]) -> set[str]:
        """Returns, for each priority, the job that has been passed over longest and too long."""
        found: dict[int, str] = {}
        for job in jobs:
            graph_id = job.graph_id
            if job.rank[0] or not self.memory.is_exhausted(graph_id, self.view.now_s):
                continue
            other = found.get(job.rank[1])
            since_s = self.memory.since_s
            if other is None or since_s[graph_id] < since_s[other]:
                found[job.rank[1]] = graph_id
        return set(found.values())

    def _report(self, passed: dict[str, tuple[_WaitingJob, _WaitingJob, float]]) -> None:
        """Adds jobs that were not passed over before to the plan, with what goes before them."""
        dearest = max(passed.values(), key=lambda entry: entry[1].density, default=None)
        for graph_id, (job, cause, lateness_s) in passed.items():
            if graph_id in self.memory.since_s or len(self.view.plan.passed_over) >= MAX_REPORTED:
                continue
            preferred = dearest[1] if cause is job and dearest else cause
            self.view.plan.passed_over.append(
                PassedOverJob(
                    graph_id, preferred.graph_id, job.density, preferred.density, lateness_s
                )
            )
