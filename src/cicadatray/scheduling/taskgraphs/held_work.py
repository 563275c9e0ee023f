"""Work that waits although there is room for it."""

from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason
from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork


class HeldWork:
    """Work whose job is at rest although its pool has room for it.

    `held_s` is for how long, in seconds. `reason` is what held it back, and `used_share` the share
    of the capacity of its pool in use. `is_started`: the round has started it in spite of the
    reason.
    """

    __slots__ = ("held_s", "is_started", "reason", "used_share", "work")

    def __init__(
        self,
        work: WaitingWork,
        reason: WaitReason,
        held_s: float,
        used_share: float,
        is_started: bool = False,
    ) -> None:
        self.work = work
        self.reason = reason
        self.held_s = held_s
        self.used_share = used_share
        self.is_started = is_started
