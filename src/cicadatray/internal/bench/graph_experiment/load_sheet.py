"""The users' expected loads, from which the experiment generates its jobs."""

import msgspec
from msgspec.structs import replace

from cicadatray.scheduling.taskgraphs.resources import Resources


class JobKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of single-step job. `worth` and `late_worth` are what a job earns on time and late."""

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


class LoadSheet(msgspec.Struct, frozen=True, kw_only=True):
    """The expected load of a deployment whose racks hold three workers.

    `guaranteed` is the number of accelerators in each account's guarantee.
    """

    name: str
    workers: int
    capacity: Resources
    guaranteed: int
    kinds: tuple[JobKind, ...]


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


# Figures from the load sheets of the users' deployments; steps, gangs and guarantees
# are simplified.
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
