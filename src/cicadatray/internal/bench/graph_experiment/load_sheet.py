"""What the users expect to run, as the experiment draws it."""

import msgspec

from cicadatray.scheduling.taskgraphs.resources import Resources


class JobKind(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs of one step. `worth` and `late_worth` are what a job earns on time and late."""

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
    """`guaranteed` is the accelerators of each account's guarantee; racks hold three workers."""

    name: str
    workers: int
    capacity: Resources
    guaranteed: int
    kinds: tuple[JobKind, ...]


def _kinds(
    cores: tuple[float, float, float], rates: tuple[float, float, float]
) -> tuple[JobKind, ...]:
    """Returns studies, quotes and reviews with the processors and rates of one deployment."""
    study = JobKind(
        name="study",
        priority=1,
        rate_per_s=rates[0],
        tasks=2,
        estimate_s=17.0,
        cpu_millis=int(cores[0] * 1000),
        most_accelerators=8,
        is_gang=True,
        stretch=3.0,
        target_latency_s=1.0,
        worth=3.0,
        late_worth=0.9,
    )
    quote = msgspec.structs.replace(
        study,
        name="quote",
        priority=0,
        rate_per_s=rates[1],
        tasks=3,
        estimate_s=5.0,
        cpu_millis=int(cores[1] * 1000),
        stretch=1.5,
        target_latency_s=0.25,
        worth=4.0,
        late_worth=0.8,
    )
    review = msgspec.structs.replace(
        study,
        name="review",
        priority=2,
        rate_per_s=rates[2],
        tasks=9,
        estimate_s=14.0,
        cpu_millis=int(cores[2] * 1000),
        most_accelerators=1,
        is_gang=False,
        target_latency_s=3.0,
        worth=1.0,
        late_worth=0.3,
    )
    return (study, quote, review)


# Figures of the users' sheets for their two deployments; steps and gangs are simplified.
SHEETS = {
    "cartago": LoadSheet(
        name="cartago",
        workers=11,
        capacity=Resources(64_000, 128_000, 8),
        guaranteed=16,
        kinds=_kinds((26.0, 7.5, 5.6), (0.204, 0.149, 0.098)),
    ),
    "port_louis": LoadSheet(
        name="port_louis",
        workers=11,
        capacity=Resources(32_000, 128_000, 8),
        guaranteed=16,
        kinds=_kinds((13.0, 3.7, 2.8), (0.228, 0.298, 0.138)),
    ),
}
