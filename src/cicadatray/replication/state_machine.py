"""Interface of the application state that is replicated."""

from typing import Protocol


class ReplicatedStateMachine(Protocol):
    """A deterministic state machine; an exception from any method stops the replica."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result for the proposer."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state with one that `snapshot` returned here or on another member."""
