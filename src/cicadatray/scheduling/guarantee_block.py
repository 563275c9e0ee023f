"""The identity of a guaranteed block."""

import msgspec

from cicadatray.scheduling.shape import Shape


class GuaranteeBlock(msgspec.Struct, frozen=True):
    """Block `number` (from 1) of all blocks of this shape that the account is guaranteed."""

    client_account: str
    shape: Shape
    number: int
