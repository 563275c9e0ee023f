"""A protocol specification with seeded defects, in the form that the checker requires."""

from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

Successors = list[tuple[str, Any]]
Invariant = Callable[[dict[str, Any]], bool]


class Specification(NamedTuple):
    """One protocol: its states, actions and invariants, and the defects that can be seeded.

    `successors` takes a state and the seeded defect (None for the correct protocol) and returns
    the labelled next states. `initial` is a NamedTuple whose fields become the checker's fields.
    """

    name: str
    initial: Any
    successors: Callable[[Any, Any], Successors]
    invariants: Mapping[str, Invariant]
    defects: Sequence[StrEnum]
    bounds: Mapping[str, int]

    def protocol(self, defect: str | None) -> Protocol:
        """Returns the minicheck protocol of the specification with at most one defect."""
        seeded = next((d for d in self.defects if d == defect), None)
        if defect is not None and seeded is None:
            raise ValueError(f"{self.name} has no seeded defect {defect!r}")
        successors = self.successors
        return Protocol(
            name=self.name,
            candidate=defect is not None,
            fields=self.initial._fields,
            initial=self.initial,
            transitions=lambda state: successors(state, seeded),
            invariants=dict(self.invariants),
        )
