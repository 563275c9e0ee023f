"""A class of jobs of similar size and run time."""

import msgspec

from cicadatray.scheduling.shape import Shape


class JobClass(msgspec.Struct, frozen=True):
    """Run times are log-normal with this median and sigma; shapes are drawn evenly.

    `weight` is the relative frequency of the class.
    """

    weight: float
    shapes: tuple[Shape, ...]
    median_run_s: float
    sigma: float
    checkpointable_share: float
