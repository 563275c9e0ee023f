"""What a rule of admission sees."""

import msgspec

from cicadatray.scheduling.taskgraphs.resources import Resources


class AdmissionView(msgspec.Struct, frozen=True):
    """The capacity of the job's pool as far as it is known.

    `largest_workers` holds the capacity of each worker of the pool that this leader has heard of,
    whether it is up now or not, by worker; it is empty while none is known.
    """

    now_s: float
    largest_workers: dict[str, Resources] = {}
