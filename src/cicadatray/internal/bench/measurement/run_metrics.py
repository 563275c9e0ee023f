"""The figures of one run."""

import msgspec


class RunMetrics(msgspec.Struct, frozen=True):
    """Times in seconds unless the name says otherwise; only `decision_p99_ms` is a real time.

    `completion_p99_unloaded` is the value for the same jobs if none of them ever waited.
    """

    completion_p50: float
    completion_p99: float
    completion_p99_unloaded: float
    fragmentation: float
    fragmentation_floor: float
    avoidable_fragmentation: float
    guarantee_violations: int
    blocked_by_losses: int
    partial_gangs: int
    reclaim_p99_s: float
    starved: int
    wrongly_failed: int
    unexpected_decisions: int
    claims: int
    disturbed_claims: int
    jobs: int
    interruptions: int
    busy_share: float
    decision_p99_ms: float
    notes: tuple[str, ...] = ()
