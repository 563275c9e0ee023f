"""The immediate answer to a submitted job."""

import msgspec

from cicadatray.scheduling.shape import Shape


class Admission(msgspec.Struct, frozen=True):
    """Whether a job is accepted; a refusal names the largest shape that could ever run."""

    accepted: bool
    reason: str = ""
    largest_shape: Shape | None = None
