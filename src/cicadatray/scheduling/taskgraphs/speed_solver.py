"""Separates the effects of workers and steps on the rates of runs."""

import math
from collections.abc import Sequence

import msgspec

# Effects are added, so a few sweeps that start from the last solution suffice.
SWEEPS = 2
# The standard deviation of the log speed of workers before anything is known. With 0.3, workers at
# half speed were estimated at 0.7 and their steps at too long times.
WORKER_DEVIATION = 0.4
# The tasks of one step differ by a log deviation of 0.15 to 0.3.
TASK_DEVIATION = 0.25
# An observation further from the median of its worker than this many of its standard deviations
# counts less, so that one outlier task does not decide.
OUTLIER_DEVIATIONS = 1.5
# No run is slower than this on any worker that works; a worker that stands still has no finite log.
LOWEST_LOG = -2.5


class RateObservation(msgspec.Struct):
    """The log of the rate of one run times the estimate of its step.

    `step` is an index of a list of step priors. `precision` is the inverse of the variance.
    """

    step: int
    value: float
    precision: float


class StepPrior(msgspec.Struct):
    """What is known of the effect of a step before its runs are observed."""

    mean: float
    precision: float


class WorkerEvidence(msgspec.Struct):
    """The observations of one worker and its effect in the last solution.

    `recent` are the paces of the last seconds, `earlier` those of runs that have ended. `effect`
    and `variance` are results.
    """

    recent: list[RateObservation]
    earlier: list[RateObservation]
    effect: float = 0.0
    variance: float = WORKER_DEVIATION**2


def solve(workers: Sequence[WorkerEvidence], priors: Sequence[StepPrior]) -> list[float]:
    """Sets the effects of the workers and returns those of the steps.

    Shrunken means of workers and steps are computed in turns. The turns alone move the common
    level of a step and its workers by little, so it is set by itself.
    """
    components = _find_components(workers, len(priors))
    effects = [prior.mean for prior in priors]
    variances = [1 / prior.precision for prior in priors]
    weights = [1.0] * len(workers)
    for _ in range(SWEEPS):
        sums = [prior.mean * prior.precision for prior in priors]
        precisions = [prior.precision for prior in priors]
        for worker, weight in zip(workers, weights, strict=True):
            effect = worker.effect
            for observation in worker.recent:
                sums[observation.step] += (observation.value - effect) * observation.precision
                precisions[observation.step] += observation.precision
            for observation in worker.earlier:
                precision = observation.precision * weight
                sums[observation.step] += (observation.value - effect) * precision
                precisions[observation.step] += precision
        effects = [total / precision for total, precision in zip(sums, precisions, strict=True)]
        level_variances = _set_levels(workers, priors, effects, components)
        variances = [1 / precision for precision in precisions]
        for number, worker in enumerate(workers):
            weights[number] = _solve_worker(worker, effects, variances)
            variance = worker.variance + level_variances[number]
            worker.variance = min(WORKER_DEVIATION**2, variance)
    return effects


def _find_components(workers: Sequence[WorkerEvidence], step_count: int) -> list[int]:
    """Returns a number for each step that is equal for steps which workers connect."""
    parents = list(range(step_count))

    def find(step: int) -> int:
        while parents[step] != step:
            parents[step] = parents[parents[step]]
            step = parents[step]
        return step

    for worker in workers:
        steps = [observation.step for observation in (*worker.recent, *worker.earlier)]
        for step in steps[1:]:
            parents[find(step)] = find(steps[0])
    return [find(step) for step in range(step_count)]


def _set_levels(
    workers: Sequence[WorkerEvidence],
    priors: Sequence[StepPrior],
    effects: list[float],
    components: Sequence[int],
) -> list[float]:
    """Adds to the workers of each component, and takes from its steps, what the priors ask for.

    Observations determine only the sum of both effects. Returns for each worker the variance of its
    level relative to those of the other components: by it all workers of one are wrong together.
    """
    totals, precisions = [0.0] * len(priors), [0.0] * len(priors)
    for component, prior, effect in zip(components, priors, effects, strict=True):
        totals[component] += prior.precision * (effect - prior.mean)
        precisions[component] += prior.precision
    sizes = [0] * len(priors)
    members = [
        components[observations[0].step] if observations else None
        for observations in (worker.recent or worker.earlier for worker in workers)
    ]
    for worker, member in zip(workers, members, strict=True):
        if member is not None:
            totals[member] -= worker.effect / WORKER_DEVIATION**2
            precisions[member] += 1 / WORKER_DEVIATION**2
            sizes[member] += 1
    for worker, member in zip(workers, members, strict=True):
        if member is not None:
            worker.effect += totals[member] / precisions[member]
    for step, component in enumerate(components):
        effects[step] -= totals[component] / precisions[component]
    observed = sum(sizes)
    return [
        0.0 if member is None else (1 - sizes[member] / observed) / precisions[member]
        for member in members
    ]


def _solve_worker(
    worker: WorkerEvidence, effects: Sequence[float], variances: Sequence[float]
) -> float:
    """Sets the effect of a worker; returns the weight of its earlier observations.

    Earlier observations that contradict the recent ones are from before a change of its speed.
    """
    recent_sum, recent_precision = _weigh(worker.recent, effects)
    earlier_sum, earlier_precision = _weigh(worker.earlier, effects)
    weight = 1.0
    if recent_precision and earlier_precision:
        difference = recent_sum / recent_precision - earlier_sum / earlier_precision
        variance = 1 / recent_precision + 1 / earlier_precision
        weight = math.exp(-max(0.0, difference**2 / variance - 1) / 2)
    observed = recent_precision + weight * earlier_precision
    precision = observed + 1 / WORKER_DEVIATION**2
    worker.effect = (recent_sum + weight * earlier_sum) / precision
    by_step: dict[int, float] = {}
    for observation in worker.recent:
        share = observation.precision / precision
        by_step[observation.step] = by_step.get(observation.step, 0.0) + share
    step_variance = sum(share**2 * variances[step] for step, share in by_step.items())
    worker.variance = 1 / precision + step_variance
    return weight


def _weigh(
    observations: Sequence[RateObservation], effects: Sequence[float]
) -> tuple[float, float]:
    """Returns the weighted sum and the precision of what observations say about their worker."""
    if not observations:
        return 0.0, 0.0
    residuals = [max(LOWEST_LOG, o.value - effects[o.step]) for o in observations]
    centre = sorted(residuals)[len(residuals) // 2]
    total = sum_of_precisions = 0.0
    for observation, residual in zip(observations, residuals, strict=True):
        precision = observation.precision
        if len(residuals) > 2:
            deviations = abs(residual - centre) * math.sqrt(precision)
            if deviations > OUTLIER_DEVIATIONS:
                precision *= OUTLIER_DEVIATIONS / deviations
        total += residual * precision
        sum_of_precisions += precision
    return total, sum_of_precisions
