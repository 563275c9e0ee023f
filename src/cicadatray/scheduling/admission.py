"""The result of admission control for a submitted job."""

import msgspec

from cicadatray.scheduling.shape import Shape


class Admission(msgspec.Struct, frozen=True):
    """The decision whether a job is accepted, and if not, why.

    `largest_shape` of a refusal is the largest shape of this scope that the inventory can hold.
    """

    accepted: bool
    reason: str = ""
    largest_shape: Shape | None = None
