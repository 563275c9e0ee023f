"""What a rule of admission sees."""

import msgspec

from cicadatray.scheduling.taskgraphs.resources import Resources


class AdmissionView(msgspec.Struct, frozen=True):
    """The capacity of the job's pool as far as it is known.

    `largest_workers` holds the largest capacity of the worker of each agent of the pool that this
    leader has heard of, whether it is up now or not, by agent. It is empty while not all agents had
    time to call. `labels` has all labels that the workers of each agent have had.
    """

    now_s: float
    largest_workers: dict[str, Resources] = {}
    labels: dict[str, frozenset[str]] = {}
