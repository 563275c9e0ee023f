"""Estimated speeds on a calm load with equal workers."""

import math

import pytest

from cicadatray.internal.bench.graph_experiment.experiment_policy import make_policy, rules_of
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheets import SHEETS
from cicadatray.scheduling.taskgraphs.worker_speeds import WorkerSpeeds

SEEDS = (4, 13, 14, 16, 19)


@pytest.mark.parametrize("seed", SEEDS)
def test_equal_workers_are_not_judged_in_bursts(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Load: the sheet `sofia`, whose workers are equal, with urgent bursts.

    Guards against speeds that run off, down to 0.2, while corrections of estimates are learned from
    them: urgent gangs of whole workers then waited for workers that were fast enough. The bound is
    the stated target: a false verdict costs at most an eighth of the pool.
    """
    misjudged: list[int] = []
    update = WorkerSpeeds.update

    def counting_update(speeds: WorkerSpeeds, now_s: float) -> bool:
        is_done = update(speeds, now_s)
        highest = [speeds.speed(w) * math.exp(speeds.uncertainty(w)) for w in speeds.workers]
        misjudged.append(sum(speed < 0.8 for speed in highest))
        return is_done

    monkeypatch.setattr(WorkerSpeeds, "update", counting_update)
    sheet = SHEETS["sofia"]
    jobs = draw_jobs(sheet, seed, 3.0)
    FleetEmulator(sheet, jobs, make_policy("by_speed"), rules=rules_of("by_speed")).run()
    assert max(misjudged) <= sheet.workers // 8
