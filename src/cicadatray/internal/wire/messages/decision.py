"""The source of a decision, for logs and callers."""

import msgspec


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """The version of the queue configuration that decided a call, and where it was in force.

    `member` led the control group in `term`.
    """

    version: int
    term: int
    member: str
