"""Guarantees of client accounts and the sharing of the remaining capacity."""

import msgspec

from cicadatray.scheduling.shape import Shape

DEFAULT_SHARE_WEIGHT = 1.0


class Guarantee(msgspec.Struct, frozen=True):
    """`count` disjoint blocks of `shape` that can always be reclaimed for the client account."""

    client_account: str
    shape: Shape
    count: int = 1


class Rules(msgspec.Struct, frozen=True):
    """The rules of one deployment.

    `policy` names an entry of the policy registry; `large_job` is the shape that defines
    fragmentation. Client accounts without an entry in `shares` have `DEFAULT_SHARE_WEIGHT`.
    """

    policy: str
    large_job: Shape
    guarantees: tuple[Guarantee, ...] = ()
    shares: dict[str, float] = {}
