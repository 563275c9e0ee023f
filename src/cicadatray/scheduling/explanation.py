"""The reason why a job waits or runs where it does."""

import msgspec


class Explanation(msgspec.Struct, frozen=True):
    """An explanation for callers and operators.

    `needs` describes what a waiting job needs in order to start. `would_displace` lists the jobs
    that a reclaim for it would stop.
    """

    job_id: str
    state: str
    reason: str
    needs: str = ""
    would_displace: tuple[str, ...] = ()
