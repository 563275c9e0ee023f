"""The metrics of an entry."""

from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.observability.standard_metrics import (
    ejections_total,
    queue_seconds,
    refusals_total,
    request_seconds,
    retries_total,
)


class EntryMetrics:
    """Records the events of the request path in the registry."""

    __slots__ = ("ejections", "queue", "refusals", "registry", "requests", "retries")

    def __init__(self, registry: MetricsRegistry) -> None:
        self.registry = registry
        self.requests = request_seconds(registry)
        self.queue = queue_seconds(registry)
        self.retries = retries_total(registry)
        self.ejections = ejections_total(registry)
        self.refusals = refusals_total(registry)

    def record_outcome(self, client_account: str, outcome: str, duration_s: float) -> None:
        """Records the outcome and duration of a request."""
        self.requests.observe(duration_s, client_account=client_account, outcome=outcome)

    def record_wait(self, client_account: str, wait_s: float) -> None:
        """Records the time that a request spent in the queue."""
        self.queue.observe(wait_s, client_account=client_account)

    def record_retry(self, client_account: str) -> None:
        """Counts a retry, that is an attempt after the first."""
        self.retries.increment(client_account=client_account)

    def record_ejection(self, agent_id: str) -> None:
        """Counts the ejection of an agent's endpoint."""
        self.ejections.increment(agent=agent_id)

    def record_refusal(self, client_account: str, code: str) -> None:
        """Counts a refused request by its error code."""
        self.refusals.increment(client_account=client_account, code=code)
