"""Tests of the measurement run with scripted schedulers."""

from collections.abc import Callable
from functools import partial

import pytest

from cicadatray.internal.bench.measurement.run import Run
from cicadatray.internal.bench.measurement.worker_outage import WorkerOutage
from cicadatray.internal.bench.measurement.workload import Workload
from cicadatray.scheduling.admission import Admission
from cicadatray.scheduling.decision import Decision, FailJob, PlaceJob, ReclaimJob
from cicadatray.scheduling.gang_outcome import GangOutcome
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.rules import Guarantee
from cicadatray.scheduling.scheduler import Scheduler
from cicadatray.scheduling.shape import Scope, Shape
from cover.measurement.builders import (
    RACK_16,
    make_deployment,
    make_placement,
    make_plan,
    make_workload,
)

WHOLE = make_placement(a0=8, a1=8)
GUARANTEE = (Guarantee("owner", RACK_16),)


class ScriptedScheduler(Scheduler):
    """Returns the decisions of `script` for the waiting job identifiers; records the outcomes."""

    __slots__ = ("outcomes", "queue", "script", "usage")

    def __init__(self, script: Callable[[list[str]], list[Decision]]) -> None:
        deployment = make_deployment({"a": 2}, GUARANTEE)
        super().__init__(deployment.inventory, deployment.rules("first_fit"))
        self.script = script
        self.queue: list[str] = []
        self.outcomes: list[tuple[str, GangOutcome]] = []
        self.usage: list[tuple[float, float]] = []

    def submit(self, request: JobRequest, now_s: float) -> Admission:
        self.queue.append(request.job_id)
        return Admission(accepted=True)

    def cancel(self, job_id: str, now_s: float) -> None:
        if job_id in self.queue:
            self.queue.remove(job_id)

    def decide(self, now_s: float) -> list[Decision]:
        decisions = self.script(self.queue)
        for decision in decisions:
            if isinstance(decision, PlaceJob | FailJob) and decision.job_id in self.queue:
                self.queue.remove(decision.job_id)
        return decisions

    def gang_started(self, job_id: str, now_s: float) -> None:
        pass

    def gang_released(self, job_id: str, now_s: float, outcome: GangOutcome) -> None:
        self.outcomes.append((job_id, outcome))
        if outcome in (GangOutcome.CHECKPOINTED, GangOutcome.STOPPED, GangOutcome.FAILED):
            self.queue.append(job_id)

    def task_failed(self, job_id: str, worker_id: str, now_s: float) -> None:
        pass

    def usage_reported(self, job_id: str, run_s: float, now_s: float) -> None:
        self.usage.append((run_s, now_s))


def test_reclaim_takes_the_time_of_the_design() -> None:
    """Guards against a fake fleet that is faster than the platform when a guarantee is claimed."""
    reclaimed: list[str] = []

    def script(queue: list[str]) -> list[Decision]:
        if "urgent" in queue and not reclaimed:
            reclaimed.append("lent")
            return [ReclaimJob("lent", "urgent")]
        if "urgent" in queue and "lent" in queue:
            return [PlaceJob("urgent", WHOLE)]
        if queue == ["lent"] and not reclaimed:
            return [PlaceJob("lent", WHOLE)]
        return []

    scheduler = ScriptedScheduler(script)
    workload = make_workload(
        make_plan("lent", RACK_16),
        make_plan("urgent", RACK_16, submitted_s=50.0, urgent=True),
    )
    metrics = Run(make_deployment({"a": 2}, GUARANTEE), workload, lambda: scheduler).run()
    # Two decisions of 0.125 s, checkpoint 1.5 s, stop 0.5 s, prepare 0.5 s and start 0.25 s.
    assert metrics.reclaim_p99_s == pytest.approx(3.0, rel=0.002)
    assert scheduler.outcomes[0] == ("lent", GangOutcome.CHECKPOINTED)
    assert metrics.starved == 1  # `lent` is never placed again


@pytest.mark.parametrize(("placement", "partial_gangs"), [(WHOLE, 0), (make_placement(a0=8), 1)])
def test_partial_gangs_are_counted_and_do_not_run(placement: object, partial_gangs: int) -> None:
    """Guards against a harness that runs a gang without some of its members."""
    attempts = iter([placement])

    def script(queue: list[str]) -> list[Decision]:
        return [PlaceJob(job_id, next(attempts, WHOLE)) for job_id in queue]  # type: ignore[arg-type]

    scheduler = ScriptedScheduler(script)
    workload = make_workload(make_plan("job", RACK_16))
    metrics = Run(make_deployment({"a": 2}), workload, lambda: scheduler).run()
    assert metrics.partial_gangs == partial_gangs
    assert metrics.starved == 0
    assert metrics.completion_p50 == pytest.approx(100.875 + 1.125 * partial_gangs, rel=0.002)


def test_stopping_a_gang_in_its_guarantee_is_a_violation() -> None:
    """Guards against policies that reclaim from an owner inside its guarantee."""
    steps = iter([[PlaceJob("urgent", WHOLE)], [], [ReclaimJob("urgent", "other")]])

    def script(queue: list[str]) -> list[Decision]:
        decisions: list[Decision] = next(steps, [])  # type: ignore[assignment]
        return decisions

    workload = make_workload(make_plan("urgent", RACK_16, urgent=True))
    deployment = make_deployment({"a": 2}, GUARANTEE)
    metrics = Run(deployment, workload, lambda: ScriptedScheduler(script)).run()
    assert metrics.guarantee_violations == 1


def test_blocking_another_guarantee_is_a_violation() -> None:
    """Guards against placing an urgent gang where the remaining guarantees no longer fit."""
    guarantees = (Guarantee("owner", Shape(8, Scope.RACK)), Guarantee("other", RACK_16))
    spread = make_placement(a0=4, b0=4)
    inside = make_placement(b0=8)
    for placement, violations in ((make_placement(a0=8), 1), (inside, 0), (spread, 0)):
        workload = make_workload(make_plan("urgent", Shape(8, Scope.RACK), urgent=True))
        deployment = make_deployment({"a": 2, "b": 1}, guarantees)
        placed: list[Decision] = [PlaceJob("urgent", placement)]

        def script(queue: list[str], placed: list[Decision] = placed) -> list[Decision]:
            return placed if queue else []

        run = Run(deployment, workload, partial(ScriptedScheduler, script))
        run.heap.call_at(500.0, lambda run=run: run._cancel("urgent"))
        metrics = run.run()
        assert (metrics.guarantee_violations > 0) is bool(violations), placement


def test_usage_reports_lag_and_end_with_the_gang() -> None:
    """Guards against reports without lag, and against a gang that never stops reporting."""

    def script(queue: list[str]) -> list[Decision]:
        free = queue[:1] == ["first"] or scheduler.outcomes
        return [PlaceJob(job_id, WHOLE) for job_id in queue[:1] if free]

    scheduler = ScriptedScheduler(script)
    plans = [make_plan("first", RACK_16, run_s=130.0), make_plan("second", RACK_16, run_s=50.0)]
    Run(make_deployment({"a": 2}), make_workload(*plans), lambda: scheduler).run()
    # The second report arrives after the gang has ended.
    assert scheduler.usage == [(60.0, 75.875), (120.0, 135.875)]


def test_a_guarantee_blocked_by_a_loss_is_counted_separately() -> None:
    """Guards against attributing the loss of a worker to a decision, or not counting the loss."""
    guarantees = (Guarantee("owner", Shape(8, Scope.RACK)), Guarantee("other", RACK_16))
    deployment = make_deployment({"a": 2, "b": 2}, guarantees)
    plan = make_plan("urgent", Shape(8, Scope.RACK), run_s=300.0, urgent=True)
    losses = (WorkerOutage("b0", 100.0, 200.0),)
    workload = Workload(1000.0, (plan,), losses, ())

    def script(queue: list[str]) -> list[Decision]:
        return [PlaceJob(job_id, make_placement(a0=8)) for job_id in queue]

    metrics = Run(deployment, workload, lambda: ScriptedScheduler(script)).run()
    assert (metrics.guarantee_violations, metrics.blocked_by_losses) == (0, 1)


def test_cancellation_and_failure_end_jobs() -> None:
    """Guards against counting cancelled and failed jobs as starved or completed."""

    def script(queue: list[str]) -> list[Decision]:
        decisions: list[Decision] = []
        for job_id in queue:
            failed = (job_id, GangOutcome.FAILED) in scheduler.outcomes
            decisions.append(FailJob(job_id, "fails") if failed else PlaceJob(job_id, WHOLE))
        return decisions[:1]

    scheduler = ScriptedScheduler(script)
    workload = make_workload(
        make_plan("fails", RACK_16, fails_everywhere=True),
        make_plan("cancelled", RACK_16, submitted_s=30.0, cancel_s=60.0),
        make_plan("completes", RACK_16, submitted_s=70.0),
    )
    metrics = Run(make_deployment({"a": 2}), workload, lambda: scheduler).run()
    assert scheduler.outcomes == [
        ("fails", GangOutcome.FAILED),
        ("cancelled", GangOutcome.CANCELLED),
        ("completes", GangOutcome.COMPLETED),
    ]
    assert (metrics.starved, metrics.wrongly_failed) == (0, 0)
    assert metrics.completion_p99 == pytest.approx(100.875, rel=0.002)


def test_a_job_that_is_placed_without_end_counts_as_starved() -> None:
    """Guards against a run that never ends when a policy retries a failing job without limit."""

    def script(queue: list[str]) -> list[Decision]:
        return [PlaceJob(job_id, WHOLE) for job_id in queue[:1]]

    scheduler = ScriptedScheduler(script)
    workload = make_workload(make_plan("fails", RACK_16, fails_everywhere=True))
    metrics = Run(make_deployment({"a": 2}), workload, lambda: scheduler).run()
    assert (metrics.starved, len(scheduler.outcomes)) == (1, 101)


def test_a_new_leader_restores_running_and_waiting_jobs() -> None:
    """Guards against a leader change that loses jobs or places a gang on capacity in use."""
    deployment = make_deployment({"a": 2})
    plans = [make_plan(f"job-{index}", RACK_16, submitted_s=index) for index in range(3)]
    workload = Workload(1000.0, tuple(plans), (), (), leader_changes=(50.0, 150.0))
    make = partial(Scheduler, deployment.inventory, deployment.rules("first_fit"))
    metrics = Run(deployment, workload, make).run()
    assert (metrics.partial_gangs, metrics.unexpected_decisions, metrics.starved) == (0, 0, 0)
    assert metrics.completion_p99 == pytest.approx(3 * 100.875 - 2, rel=0.01)
