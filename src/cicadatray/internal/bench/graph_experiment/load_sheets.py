"""The load sheets of the users' deployments."""

from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.disturbances import DisturbanceSheet
from cicadatray.internal.bench.graph_experiment.job_variation import JobVariation
from cicadatray.internal.bench.graph_experiment.load_sheet import (
    ArrivalWave,
    JobKind,
    LoadSheet,
    SpeedClass,
)
from cicadatray.scheduling.taskgraphs.resources import Resources

STUDY = JobKind(
    name="study",
    priority=1,
    rate_per_s=0.204,
    tasks=2,
    estimate_s=17.0,
    cpu_millis=26_000,
    most_accelerators=8,
    is_gang=True,
    stretch=3.0,
    target_latency_s=1.0,
    worth=3.0,
    late_worth=0.9,
)
QUOTE = replace(
    STUDY,
    name="quote",
    priority=0,
    rate_per_s=0.149,
    tasks=3,
    estimate_s=5.0,
    cpu_millis=7_500,
    stretch=1.5,
    target_latency_s=0.25,
    worth=4.0,
    late_worth=0.8,
)
REVIEW = replace(
    STUDY,
    name="review",
    priority=2,
    rate_per_s=0.098,
    tasks=9,
    estimate_s=15.2,
    cpu_millis=5_600,
    most_accelerators=1,
    is_gang=False,
    target_latency_s=3.0,
    worth=1.0,
    late_worth=0.3,
)


# Figures of the affiche-sched sheet. Gangs are limited to half of its accelerators, so that each
# can run while some workers are silent.
STUDY_VARIATION = JobVariation(
    mean_tasks=1.5,
    width_spread=0.8,
    most_tasks=9,
    most_gang_accelerators=44,
    duration_spread=0.3,
    task_spread=0.15,
    estimate_spread=0.9,
    memory_mb=38_000,
    rack_local_share=0.6,
    checkpointable_share=0.45,
    cancelled_share=0.05,
    failed_share=0.01,
    accelerator_sizes=(1, 2, 4, 8, 8),
)
QUOTE_VARIATION = replace(
    STUDY_VARIATION,
    mean_tasks=3.0,
    most_tasks=18,
    duration_spread=0.5,
    task_spread=0.3,
    estimate_spread=0.2,
    memory_mb=11_000,
    rack_local_share=0.8,
    checkpointable_share=0.0,
    cancelled_share=0.0,
    failed_share=0.02,
)
REVIEW_VARIATION = replace(
    STUDY_VARIATION,
    mean_tasks=9.2,
    most_tasks=55,
    task_spread=0.3,
    memory_mb=11_000,
    second_step_share=0.3,
    cancelled_share=0.15,
    failed_share=0.05,
    accelerator_sizes=(1,),
)


# Figures from the load sheets of the users' deployments; steps, gangs and guarantees
# are simplified, except in sheets with variations.
SHEETS = {
    "cartago": LoadSheet(
        name="cartago",
        workers=11,
        capacity=Resources(64_000, 128_000, 8),
        guaranteed=16,
        kinds=(STUDY, QUOTE, REVIEW),
    ),
    "port_louis": LoadSheet(
        name="port_louis",
        workers=11,
        capacity=Resources(32_000, 128_000, 8),
        guaranteed=16,
        kinds=(
            replace(STUDY, rate_per_s=0.228, cpu_millis=13_000),
            replace(QUOTE, rate_per_s=0.298, cpu_millis=3_700),
            replace(REVIEW, rate_per_s=0.138, estimate_s=12.2, cpu_millis=2_800),
        ),
    ),
    "muscat_grown": LoadSheet(
        name="muscat_grown",
        workers=67,
        capacity=Resources(32_000, 64_000, 8),
        guaranteed=48,
        kinds=(
            replace(STUDY, rate_per_s=0.464, tasks=7, estimate_s=13.6, cpu_millis=13_000),
            replace(QUOTE, rate_per_s=0.84, tasks=5, cpu_millis=3_700, target_latency_s=0.3),
            replace(REVIEW, rate_per_s=0.155, tasks=39, estimate_s=19.0, cpu_millis=2_800),
        ),
    ),
}
SHEETS["port_louis_varied"] = replace(
    SHEETS["port_louis"],
    name="port_louis_varied",
    kinds=tuple(
        replace(kind, variation=variation)
        for kind, variation in zip(
            SHEETS["port_louis"].kinds,
            (STUDY_VARIATION, QUOTE_VARIATION, REVIEW_VARIATION),
            strict=True,
        )
    ),
    # Guarantees of 62% of all accelerators.
    guarantees={"account-0": 17, "account-1": 14, "account-2": 12, "account-3": 11},
    accounts={"account-0": 1.0, "account-1": 0.81, "account-2": 0.72, "account-3": 0.66},
    core_seconds_per_worth=250.0,
)
SHEETS["port_louis_disturbed"] = replace(
    SHEETS["port_louis_varied"],
    name="port_louis_disturbed",
    disturbances=DisturbanceSheet(silences=2, outages=1, slow_spells=1),
)


def _skewed_weights(accounts: int, skew: float) -> dict[str, float]:
    """Returns the weights of accounts of which a few are large; the k-th has `k ** -skew`."""
    return {f"account-{k}": (k + 1) ** -skew for k in range(accounts)}


def _guarantees(weights: dict[str, float], accelerators: float) -> dict[str, int]:
    """Returns guarantees in proportion to the weights that sum up to at most `accelerators`."""
    total = sum(weights.values())
    return {name: int(accelerators * weight / total) for name, weight in weights.items()}


# The share of all accelerators that the guarantees of the users' deployments promise.
GUARANTEED_SHARE = 0.62
SOFIA_ACCOUNTS = _skewed_weights(10, 1.2)
SOFIA_STUDY = replace(
    STUDY_VARIATION,
    mean_tasks=6.0,
    most_tasks=34,
    most_gang_accelerators=110,
    task_spread=0.15,
    estimate_spread=0.5,
    memory_mb=75_000,
    failed_share=0.02,
)
SOFIA_QUOTE = replace(
    QUOTE_VARIATION,
    mean_tasks=5.0,
    most_tasks=32,
    most_gang_accelerators=110,
    task_spread=0.15,
    estimate_spread=0.5,
    memory_mb=39_000,
)
SOFIA_REVIEW = replace(
    REVIEW_VARIATION,
    mean_tasks=39.0,
    most_tasks=230,
    task_spread=0.15,
    estimate_spread=0.5,
    memory_mb=16_000,
    failed_share=0.01,
)
SHEETS["sofia"] = LoadSheet(
    name="sofia",
    workers=55,
    capacity=Resources(128_000, 256_000, 8),
    guaranteed=0,
    workers_per_rack=6,
    kinds=(
        replace(
            STUDY,
            rate_per_s=0.248,
            tasks=6,
            estimate_s=22.0,
            cpu_millis=52_000,
            late_worth=1.5,
            variation=SOFIA_STUDY,
        ),
        replace(
            QUOTE,
            rate_per_s=0.72,
            tasks=5,
            cpu_millis=15_000,
            target_latency_s=0.3,
            variation=SOFIA_QUOTE,
        ),
        replace(
            REVIEW,
            rate_per_s=0.166,
            tasks=39,
            estimate_s=12.2,
            cpu_millis=11_000,
            late_worth=0.5,
            variation=SOFIA_REVIEW,
        ),
    ),
    accounts=SOFIA_ACCOUNTS,
    guarantees=_guarantees(SOFIA_ACCOUNTS, GUARANTEED_SHARE * 55 * 8),
    core_seconds_per_worth=1_120.0,
    wave=ArrivalWave(0.15, 11.0),
    arrivals_end_s=34.0,
)
ADDIS_ACCOUNTS = _skewed_weights(10, 0.3)
ADDIS_SPREAD = {"task_spread": 0.3, "tail_share": 0.03, "tail_factor": 7.0}
SHEETS["addis"] = LoadSheet(
    name="addis",
    workers=73,
    capacity=Resources(128_000, 512_000, 8),
    guaranteed=0,
    workers_per_rack=12,
    kinds=(
        replace(
            STUDY,
            rate_per_s=0.327,
            tasks=8,
            estimate_s=14.4,
            cpu_millis=52_000,
            variation=replace(
                SOFIA_STUDY, mean_tasks=8.0, most_tasks=45, memory_mb=210_000, **ADDIS_SPREAD
            ),
        ),
        replace(
            QUOTE,
            rate_per_s=0.81,
            tasks=5,
            estimate_s=4.2,
            cpu_millis=15_000,
            target_latency_s=0.3,
            variation=replace(SOFIA_QUOTE, memory_mb=61_000, **ADDIS_SPREAD),
        ),
        replace(
            REVIEW,
            rate_per_s=0.233,
            tasks=39,
            estimate_s=10.4,
            cpu_millis=11_000,
            variation=replace(SOFIA_REVIEW, memory_mb=32_000, **ADDIS_SPREAD),
        ),
    ),
    accounts=ADDIS_ACCOUNTS,
    guarantees=_guarantees(ADDIS_ACCOUNTS, GUARANTEED_SHARE * 73 * 8),
    core_seconds_per_worth=1_350.0,
    # Run times of 0.55 and 1.2 times those of the worker of the estimates.
    speeds=(SpeedClass(0.25, 1 / 0.55), SpeedClass(0.75, 1 / 1.2)),
    wave=ArrivalWave(0.55, 15.0),
    arrivals_end_s=34.0,
)
SHEETS["addis_disturbed"] = replace(
    SHEETS["addis"],
    name="addis_disturbed",
    disturbances=DisturbanceSheet(silences=1, outages=1, slow_spells=2),
)
SHEETS["sofia_disturbed"] = replace(
    SHEETS["sofia"],
    name="sofia_disturbed",
    disturbances=DisturbanceSheet(silences=1, outages=1),
)
