"""The users' expected loads, from which the experiment generates its jobs."""

import msgspec
from msgspec.structs import replace

from cicadatray.internal.bench.graph_experiment.disturbances import DisturbanceSheet
from cicadatray.internal.bench.graph_experiment.job_variation import JobVariation
from cicadatray.scheduling.taskgraphs.job_value import CORE_SECONDS_PER_WORTH
from cicadatray.scheduling.taskgraphs.resources import Resources

WORKERS_PER_RACK = 3


class JobKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of job. `worth` and `late_worth` are what a job earns on time and late.

    Without `variation`, all jobs of the kind have one step and the same number of tasks.
    """

    name: str
    priority: int
    rate_per_s: float
    tasks: int
    estimate_s: float
    cpu_millis: int
    most_accelerators: int
    is_gang: bool
    stretch: float
    target_latency_s: float
    worth: float
    late_worth: float
    variation: JobVariation | None = None


class LoadSheet(msgspec.Struct, frozen=True, kw_only=True):
    """The expected load of a deployment whose racks hold three workers.

    `guaranteed` is the number of accelerators in each account's guarantee; `guarantees` holds those
    of accounts that differ. Jobs with a variation come from `accounts`, in proportion to these
    weights. `core_seconds_per_worth` is the wasted work that costs as much as one unit of worth.
    """

    name: str
    workers: int
    capacity: Resources
    guaranteed: int
    kinds: tuple[JobKind, ...]
    guarantees: dict[str, int] = {}
    accounts: dict[str, float] = {}
    core_seconds_per_worth: float = CORE_SECONDS_PER_WORTH
    disturbances: DisturbanceSheet | None = None

    def guarantee_of(self, account: str) -> int:
        """Returns the number of accelerators in the guarantee of an account."""
        return self.guarantees.get(account, self.guaranteed)

    def worker_id(self, number: int) -> str:
        """Returns the identifier of a worker."""
        return f"w{number}"


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
