"""Work that a placement round did not place."""

from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class PlacementWait:
    """The oldest work of a queue that was not placed, and the reason."""

    __slots__ = ("reason", "work")

    def __init__(self, work: WaitingWork, reason: WaitReason) -> None:
        self.work = work
        self.reason = reason
