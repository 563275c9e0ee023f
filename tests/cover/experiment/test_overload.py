"""Loads beyond capacity under the rules for overload, in a fleet of two racks."""

import math
from collections.abc import Callable

import pytest
from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.fleet_emulator import ROUND_S, FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheet import ArrivalWave
from cicadatray.internal.bench.graph_experiment.load_sheets import (
    REVIEW,
    SHEETS,
    STUDY,
)
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.rules.passed_over_memory import MAX_PASSED_OVER_S
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import SchedulingRules
from cover.experiment.checked_policy import CheckedPolicy
from cover.experiment.job_plans import plan_job

RULES = {
    "worthwhile": SchedulingRules(victims="worthwhile"),
    "least_cost": SchedulingRules(ranking="least_cost"),
    "both": SchedulingRules(ranking="least_cost", victims="worthwhile"),
}
SMALL_FLEET = 12
ACCELERATORS = 8
# The Sofia sheet needs about three quarters of its 55 workers.
OVERLOAD = 1.5 / 0.76 * SMALL_FLEET / 55
SHEET = replace(
    SHEETS["sofia"],
    workers=SMALL_FLEET,
    guarantees={account: count // 5 for account, count in SHEETS["sofia"].guarantees.items()},
    # Every gang fits on the fleet.
    kinds=tuple(
        replace(
            kind,
            rate_per_s=kind.rate_per_s * OVERLOAD,
            variation=replace(kind.variation, most_gang_accelerators=48),
        )
        for kind in SHEETS["sofia"].kinds
        if kind.variation is not None
    ),
    wave=ArrivalWave(),
    arrivals_end_s=60.0,
)


def with_estimates(job: PlannedJob, factor: float) -> PlannedJob:
    """Returns the job with estimates that are this many times as long."""
    steps = tuple(replace(s, estimate_s=s.estimate_s * factor) for s in job.graph.steps)
    return replace(job, graph=replace(job.graph, steps=steps))


def cancelled_in_burst(job: PlannedJob) -> PlannedJob:
    """Returns the job, cancelled at 25 s if it is one of every two that arrive from 18 s on."""
    is_cancelled = 18.0 <= job.arrival_s < 25.0 and int(job.graph.graph_id.split("-")[1]) % 2
    return replace(job, cancelled_s=25.0) if is_cancelled else job


CHANGES: dict[str, Callable[[PlannedJob], PlannedJob]] = {
    "overload by half": lambda job: job,
    "estimates twice as long": lambda job: with_estimates(job, 2.0),
    "estimates half as long": lambda job: with_estimates(job, 0.5),
    "cancellations in a burst": cancelled_in_burst,
}


@pytest.mark.parametrize("leader_change_s", [math.inf, 24.0], ids=["", "new leader"])
@pytest.mark.parametrize("rules", RULES)
@pytest.mark.parametrize("change", CHANGES)
def test_rules_keep_their_promises_under_overload(
    change: str, rules: str, leader_change_s: float
) -> None:
    """Guards against displacement that costs more than it gains, chains, and jobs left behind.

    The load is 1.5 times the capacity for 60 s, with a burst of twice that from 20 to 30 s.
    """
    jobs = [CHANGES[change](job) for job in draw_jobs(SHEET, 5, 2.0)]
    policy = CheckedPolicy(RULES[rules], leader_change_s)
    emulator = FleetEmulator(SHEET, jobs, policy, rules=RULES[rules])
    result = emulator.run()
    unfinished = {name for name, graph in emulator.graphs.items() if graph.is_active}
    assert not unfinished
    assert 0.0 < result.earned_worth <= result.offered_worth


@pytest.mark.parametrize("leader_change_s", [math.inf, 15.0], ids=["", "new leader"])
@pytest.mark.parametrize("rules", RULES)
def test_job_of_low_density_is_not_starved(rules: str, leader_change_s: float) -> None:
    """Guards against a large job that waits behind small ones for as long as the overload lasts.

    Small gangs need 1.5 times the capacity of six workers for a minute. A job is passed over from
    its latest start at the latest, for at most `MAX_PASSED_OVER_S`, once under each leader. Then it
    waits for the running gangs.
    """
    small_s, large_s, arrival_s = 6.0, 10.0, 2.0
    sheet = replace(SHEET, workers=6)
    small = [plan_job(STUDY, f"small-{n}", n / 1.5, 2, 4, small_s) for n in range(90)]
    large = plan_job(STUDY, "large", arrival_s, 6, ACCELERATORS, large_s)
    policy = CheckedPolicy(RULES[rules], leader_change_s)
    FleetEmulator(sheet, [*small, large], policy, rules=RULES[rules]).run()
    latest_start_s = arrival_s + large.objective_s() - large_s
    longest_s = latest_start_s + MAX_PASSED_OVER_S + small_s + 3 * ROUND_S
    assert policy.first_start_s["large"] <= longest_s
    if RULES[rules].ranking == "least_cost":
        assert "large" in policy.passed_over


def test_overload_makes_only_jobs_of_low_density_late() -> None:
    """Guards against a large job that makes many small ones late, although one alone could be late.

    A batch of 20 s of the whole rack cannot be on time, but has the earliest latest start. With it
    arrive 18 small batches that need 13 s.
    """
    sheet = replace(SHEET, workers=6)
    late = {}
    for ranking in ("latest_start", "least_cost"):
        large = plan_job(REVIEW, "large", 0.0, 6 * ACCELERATORS * 5, 1, 4.0)
        small = [plan_job(REVIEW, f"small-{n}", 0.0, 8, 1, 4.25) for n in range(18)]
        rules = SchedulingRules(ranking=ranking)
        emulator = FleetEmulator(sheet, [large, *small], CheckedPolicy(rules), rules=rules)
        late[ranking] = emulator.run().late
    assert late["least_cost"] == 1 < late["latest_start"]
