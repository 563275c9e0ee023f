"""Tests of disturbed loads and of jobs that differ within their kind."""

import math

import pytest
from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.disturbance_draw import draw_disturbances
from cicadatray.internal.bench.graph_experiment.disturbances import Disturbances, Spell
from cicadatray.internal.bench.graph_experiment.experiment_policy import experiment_policies
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheets import QUOTE, SHEETS
from cicadatray.internal.bench.graph_experiment.planned_job import PlannedJob
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.step import Step
from cicadatray.scheduling.taskgraphs.task_graph import TaskGraph

SHEET = replace(SHEETS["port_louis"], workers=1)
RUN_S = 20.0
WORKER = frozenset({"w0"})
VARIED_SHEETS = sorted(name for name, sheet in SHEETS.items() if sheet.accounts)


def run_one_job(disturbances: Disturbances, is_checkpointable: bool = False) -> FleetEmulator:
    """Runs one job of 20 s, which arrives at 0, on one worker."""
    step = Step(1, Resources(1_000, 1_000, 1), RUN_S, is_checkpointable=is_checkpointable)
    policy = QueuePolicy("quote", "pool", 0, 3, QUOTE.stretch, QUOTE.target_latency_s)
    graph = TaskGraph("job", "account", policy, "", (step,))
    job = PlannedJob(QUOTE, graph, 0.0, (RUN_S,), math.inf, 0)
    emulator = FleetEmulator(SHEET, [job], experiment_policies["present"], disturbances)
    emulator.run()
    return emulator


# A worker that is silent for 12 s ends its runs after 11.64 s and reports this when it returns.
@pytest.mark.parametrize(
    ("disturbances", "is_checkpointable", "ended_s"),
    [
        (Disturbances(), False, 20.0),
        (Disturbances(silences=(Spell(WORKER, 2.0, 13.0),)), False, 20.0),
        (Disturbances(silences=(Spell(WORKER, 2.0, 14.0),)), False, 34.0),
        (Disturbances(silences=(Spell(WORKER, 2.0, 14.0),)), True, 32.5),
        (Disturbances(outages=(Spell(frozenset(), 0.0, 3.0),)), False, 23.0),
        (Disturbances(outages=(Spell(frozenset(), 2.0, 5.0),)), False, 20.0),
        (Disturbances(slow_spells=(Spell(WORKER, 2.0, 6.0, 4.0),)), False, 23.0),
    ],
    ids=["calm", "short", "lost", "saved", "late start", "outage", "slow"],
)
def test_end_of_a_disturbed_run(
    disturbances: Disturbances, is_checkpointable: bool, ended_s: float
) -> None:
    """Guards against disturbances that cost a job more or less than the real ones do."""
    emulator = run_one_job(disturbances, is_checkpointable)
    assert emulator.graphs["job"].ended_s == pytest.approx(ended_s)


def test_lost_work_is_counted_by_cause() -> None:
    """Guards against work that is thrown away without a cause in the report."""
    result = run_one_job(Disturbances(silences=(Spell(WORKER, 2.0, 14.0),))).result
    assert list(result.thrown_away_by) == [("quote", "lost")]
    assert result.thrown_away == pytest.approx(9.0 * 13.64)


@pytest.mark.parametrize("name", VARIED_SHEETS)
@pytest.mark.parametrize("seed", range(1, 4))
def test_varied_loads(name: str, seed: int) -> None:
    """Guards against a different load for the same seed, and against plans beyond capacity."""
    sheet = SHEETS[name]

    def play() -> float:
        jobs, disturbances = draw_jobs(sheet, seed, 3.0), draw_disturbances(sheet, seed)
        return (
            FleetEmulator(sheet, jobs, experiment_policies["present"], disturbances).run().worth()
        )

    assert play() == play()


@pytest.mark.parametrize("name", VARIED_SHEETS)
def test_varied_jobs_resemble_their_kind(name: str) -> None:
    """Guards against a load whose size or worth is not that of its sheet."""
    jobs = [job for seed in range(1, 81) for job in draw_jobs(SHEETS[name], seed, 1.0)]
    for kind in SHEETS[name].kinds:
        factors = [job.worth_factor for job in jobs if job.kind.name == kind.name]
        # Rounding the width raises the mean of narrow kinds; limits lower that of wide ones.
        assert 0.75 <= sum(factors) / len(factors) <= 1.15
        assert 0.3 <= min(factors) < 0.6
        assert 1.5 < max(factors) <= 4.0
    assert {len(job.graph.steps) for job in jobs} == {1, 2}
    assert {job.graph.client_account for job in jobs} == set(SHEETS[name].accounts)
