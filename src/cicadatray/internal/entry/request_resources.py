"""The resources that all requests of an entry share."""

import asyncio

from cicadatray.internal.entry.admission import Admission
from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.endpoint_selector import EndpointSelector
from cicadatray.internal.entry.entry_metrics import EntryMetrics
from cicadatray.internal.entry.retry_budget import RetryBudget
from cicadatray.internal.wire.control_client import ControlClient


class RequestResources:
    """The shared resources; `background` holds tasks of attempts that outlive their callers."""

    __slots__ = (
        "admission",
        "background",
        "control",
        "directory",
        "metrics",
        "retry_budget",
        "selector",
    )

    def __init__(
        self,
        directory: DirectoryCache,
        control: ControlClient,
        metrics: EntryMetrics,
        queue_limit: int,
    ) -> None:
        self.directory = directory
        self.control = control
        self.metrics = metrics
        self.selector = EndpointSelector(directory, metrics.record_ejection)
        self.admission = Admission(directory, queue_limit, metrics.record_wait)
        self.retry_budget = RetryBudget()
        self.background: set[asyncio.Task[None]] = set()
