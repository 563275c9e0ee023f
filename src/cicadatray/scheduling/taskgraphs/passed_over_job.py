"""A job that is passed over for another one."""

import msgspec


class PassedOverJob(msgspec.Struct, frozen=True):
    """A job that the ranking places after others because not all can be on time.

    `preferred` is the graph that is placed in its stead. Densities are values in core-seconds for
    each accelerator-second of work. `lateness_s` is how much later than its objective the job would
    have ended by the projected schedule.
    """

    graph_id: str
    preferred: str
    density: float
    preferred_density: float
    lateness_s: float
