"""What rules remember from one round to the next."""

from collections.abc import Callable
from typing import TypeVar, cast

MemoryType = TypeVar("MemoryType")


class RuleMemory:
    """Soft state of rules under one leader, with one object for each type.

    A rule with hysteresis keeps its last decision here. A new leader begins with an empty memory.
    """

    __slots__ = ("objects",)

    def __init__(self) -> None:
        self.objects: dict[type[object], object] = {}

    def get(self, memory_type: Callable[[], MemoryType]) -> MemoryType:
        """Returns the object of a type, which is created on first use."""
        key = cast(type[object], memory_type)
        if key not in self.objects:
            self.objects[key] = memory_type()
        return cast(MemoryType, self.objects[key])
