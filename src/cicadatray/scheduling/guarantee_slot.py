"""The state of one block that a client account is guaranteed."""

from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.shape import Shape
from cicadatray.scheduling.unit import Unit


class GuaranteeSlot:
    """A guaranteed block, the unit where it is reserved and the jobs that run inside it.

    `unit` is None while no unit has capacity for the block, as after the loss of workers. `bound`
    contains the placements of the jobs by their identifiers.
    """

    __slots__ = ("bound", "client_account", "number", "shape", "unit", "was_at_risk")

    def __init__(self, client_account: str, shape: Shape, number: int) -> None:
        self.client_account = client_account
        self.shape = shape
        self.number = number
        self.unit: Unit | None = None
        self.bound: dict[str, Placement] = {}
        self.was_at_risk = False

    @property
    def key(self) -> tuple[str, Shape, int]:
        """Returns the identity of the block, which is stable across changes of the rules."""
        return (self.client_account, self.shape, self.number)

    @property
    def block(self) -> GuaranteeBlock:
        """Returns the identity of the block as callers see it."""
        return GuaranteeBlock(self.client_account, self.shape, self.number)

    @property
    def free_accelerators(self) -> int:
        """Returns the accelerators of the block that no bound job uses."""
        used = sum(
            share.accelerators for placement in self.bound.values() for share in placement.shares
        )
        return self.shape.accelerators - used

    @property
    def name(self) -> str:
        """Returns a description for messages."""
        scope = self.shape.scope.value.replace("_", " ")
        return f"{self.client_account}: {self.shape.accelerators} in one {scope} ({self.number})"
