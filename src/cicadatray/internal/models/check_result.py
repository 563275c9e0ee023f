"""The result of one run of the model checker."""

from typing import Any

import msgspec


class CheckResult(msgspec.Struct, frozen=True):
    """The result of checking one specification with at most one seeded defect.

    `steps` is the number of actions in the shortest counterexample, 0 when there is none.
    `holds` is true only after a complete search without a violation.
    """

    specification: str
    defect: str | None
    states: int
    complete: bool
    holds: bool
    violated: str
    steps: int
    trace: list[tuple[str, dict[str, Any]]]

    @property
    def as_expected(self) -> bool:
        """Returns whether the correct protocol holds, or the seeded defect was detected."""
        if self.defect is None:
            return self.holds
        return bool(self.violated)
