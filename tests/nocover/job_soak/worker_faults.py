"""The faults of a stand-in for a worker."""

import msgspec


class WorkerFaults(msgspec.Struct):
    """Faults in force until these times of the steady clock.

    A mute worker neither answers nor announces itself, and works on. A late one answers late, one
    with late orders answers no order and carries it out later. Tasks that are started on a worker
    that stands still begin their work when it goes on; a broken worker fails them.
    """

    mute_until_s: float = 0.0
    late_until_s: float = 0.0
    late_orders_until_s: float = 0.0
    still_until_s: float = 0.0
    broken_until_s: float = 0.0

    def end_s(self) -> float:
        """Returns when the last fault is over."""
        return max(msgspec.structs.astuple(self))
