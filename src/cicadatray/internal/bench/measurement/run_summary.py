"""Computes the figures of a finished run."""

from typing import TYPE_CHECKING

from cicadatray.internal.bench.measurement.fake_fleet import (
    DECISION_DELAY_S,
    PREPARE_S,
    START_S,
)
from cicadatray.internal.bench.measurement.job_record import JobEnding, JobRecord
from cicadatray.internal.bench.measurement.percentiles import DurationHistogram
from cicadatray.internal.bench.measurement.run_metrics import RunMetrics

if TYPE_CHECKING:
    from cicadatray.internal.bench.measurement.run import Run

# A job is starved when it has waited, over all its queue times, more than this multiple of the
# workload's longest fair wait, has not ended when the run is cut off, or was abandoned. Twice
# leaves capacity for stopped jobs that run again and for gangs that do not pack evenly on workers.
STARVATION_MULTIPLE = 2.0
MILLISECONDS_PER_S = 1000.0


def summarize_run(run: "Run") -> RunMetrics:
    """Returns the figures of all jobs; a job that never ended counts until the end of the run."""
    records = list(run.records.values())
    completions = DurationHistogram(
        _completion_s(record, run.heap.now_s) for record in records if _is_measured(record)
    )
    unloaded = DurationHistogram(_unloaded_s(record) for record in records if _is_measured(record))
    claims = [record for record in run.claims.measured if record.plan.cancel_s is None]
    undisturbed = [record for record in claims if not record.disturbed]
    reclaims = DurationHistogram(_start_s(record, run.heap.now_s) for record in undisturbed)
    decisions = DurationHistogram(
        duration_s * MILLISECONDS_PER_S for duration_s in run.decision_times_s
    )
    fragmentation = run.ledger.fragmentation_integral
    starved = _find_starved(run, records)
    failed = [record for record in records if _is_wrongly_failed(record)]
    return RunMetrics(
        busy_share=_busy_share(run),
        interruptions=run.fleet.interruptions,
        completion_p50=completions.percentile_s(50),
        completion_p99=completions.percentile_s(99),
        completion_p99_unloaded=unloaded.percentile_s(99),
        fragmentation=fragmentation.share(),
        fragmentation_floor=fragmentation.floor(),
        avoidable_fragmentation=fragmentation.share() - fragmentation.floor(),
        guarantee_violations=run.monitor.violations,
        blocked_by_losses=run.monitor.blocked_by_losses,
        partial_gangs=run.monitor.partial_gangs,
        reclaim_p99_s=reclaims.percentile_s(99),
        starved=len(starved),
        wrongly_failed=len(failed),
        unexpected_decisions=run.monitor.unexpected_decisions,
        claims=len(claims),
        disturbed_claims=len(claims) - len(undisturbed),
        jobs=len(records),
        decision_p99_ms=decisions.percentile_s(99),
        notes=(*run.monitor.notes, *_describe("starved", starved), *_describe("failed", failed)),
    )


def _busy_share(run: "Run") -> float:
    """Returns the held share of the inventory before the horizon; lost workers count as held."""
    offered = run.deployment.capacity * run.workload.horizon_s
    return 1 - run.ledger.fragmentation_integral.idle_integral / offered


def _is_measured(record: JobRecord) -> bool:
    plan = record.plan
    # A planned cancellation excludes the job under every policy, even if it completed before it.
    if plan.impossible or plan.fails_everywhere or plan.cancel_s is not None:
        return False
    # Wrongly failed jobs are counted separately and have no completion time.
    return not _is_wrongly_failed(record)


def _completion_s(record: JobRecord, run_end_s: float) -> float:
    completed = record.ending is JobEnding.COMPLETED and record.ended_s is not None
    ended_s = record.ended_s if completed and record.ended_s is not None else run_end_s
    return ended_s - record.plan.request.submitted_s


def _unloaded_s(record: JobRecord) -> float:
    return record.plan.run_s + DECISION_DELAY_S + PREPARE_S + START_S


def _start_s(record: JobRecord, run_end_s: float) -> float:
    started_s = record.started_s if record.started_s is not None else run_end_s
    return started_s - record.plan.request.submitted_s


def _find_starved(run: "Run", records: list[JobRecord]) -> list[JobRecord]:
    limit_s = STARVATION_MULTIPLE * run.workload.longest_fair_wait_s(run.deployment.capacity)
    unfinished = (None, JobEnding.ABANDONED)
    return [
        record for record in records if record.ending in unfinished or record.waited_s > limit_s
    ]


def _is_wrongly_failed(record: JobRecord) -> bool:
    ended_by_scheduler = record.ending in (JobEnding.FAILED, JobEnding.REFUSED)
    plan = record.plan
    return ended_by_scheduler and not (plan.impossible or plan.fails_everywhere)


def _describe(label: str, records: list[JobRecord]) -> list[str]:
    return [
        f"{label}: {record.plan.request} waited {record.waited_s:.0f} s, ending {record.ending}"
        for record in records[:2]
    ]
