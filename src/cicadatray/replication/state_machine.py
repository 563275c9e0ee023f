"""What an application provides to be replicated."""

from typing import Protocol


class ReplicatedStateMachine(Protocol):
    """Must be deterministic. An exception from any method ends the replica."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result for the proposer."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by one that `snapshot` returned here or on another member."""
