"""A log of one instance that lives in memory, until the replicated log takes its place."""

from cicadatray.internal.control.control_state import ControlState


class NotLeaderError(Exception):
    """Another instance leads."""

    def __init__(self, leader_id: str | None = None) -> None:
        super().__init__(f"leader is {leader_id}")
        self.leader_id = leader_id


class ProposalUnknownError(Exception):
    """The proposal may still be committed."""


class LocalReplica:
    """Always leads."""

    __slots__ = ("index", "state", "term")

    def __init__(self, state: ControlState) -> None:
        self.state = state
        self.index = 0
        self.term = 1

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Applies the command."""
        self.index += 1
        return self.state.apply(self.index, command)

    async def confirm_leadership(self, timeout_s: float) -> None:
        """Does nothing."""
