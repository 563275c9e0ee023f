"""Why a job waits or runs where it does."""

import msgspec


class Explanation(msgspec.Struct, frozen=True):
    """An explanation for people; `would_displace` lists the jobs that a reclaim would stop."""

    job_id: str
    state: str
    reason: str
    needs: str = ""
    would_displace: tuple[str, ...] = ()
