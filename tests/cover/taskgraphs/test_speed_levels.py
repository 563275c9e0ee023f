"""The common level of the effects of steps and of their workers."""

import math

from cicadatray.scheduling.taskgraphs.speed_solver import (
    RateObservation,
    StepPrior,
    WorkerEvidence,
    solve,
)


def test_common_pace_belongs_to_the_step() -> None:
    """Guards against many workers that look slow because their common step is long, and against a
    level of a step with one worker that counts as certain.
    """

    def evidence(step: int) -> WorkerEvidence:
        return WorkerEvidence([RateObservation(step, -1.0, 16.0) for _ in range(6)], [])

    workers = [evidence(0) for _ in range(10)] + [evidence(1)]
    solve(workers, [StepPrior(0.0, 4.0), StepPrior(0.0, 4.0)])
    assert all(abs(worker.effect) < 0.1 for worker in workers[:10])
    assert math.sqrt(workers[10].variance) > 0.3 > math.sqrt(workers[0].variance)
