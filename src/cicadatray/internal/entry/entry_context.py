"""The state that the HTTP routes of an entry share."""

from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.entry_description import EntryDescription, describe_entry
from cicadatray.internal.entry.entry_metrics import EntryMetrics
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.request_resources import RequestResources
from cicadatray.internal.entry.request_service import RequestService
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.settings.entry_settings import EntrySettings
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.message import Failure, MessageStruct

DRAINING_RETRY_AFTER_S = 1.0
CONTROL_RETRY_AFTER_S = 2.0
CONTROL_TIMEOUT_S = 5.0
FAILURE_STATUS_CODES = {
    "job_unknown": 404,
    "job_impossible": 422,
    "key_reused": 422,
    "operation_id_reused": 422,
    "invalid_configuration": 422,
}


def draining_error() -> EntryError:
    """Returns the error for new work that arrives during a planned stop."""
    detail = "this entry is stopping; send the request to another entry"
    return EntryError(503, "entry_draining", detail, DRAINING_RETRY_AFTER_S)


class EntryContext:
    """The components and settings of an entry, shared by all HTTP routes."""

    __slots__ = ("control", "directory", "draining", "metrics", "requests", "settings")

    def __init__(
        self, settings: EntrySettings, directory: DirectoryCache, control: ControlClient
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.control = control
        self.metrics = MetricsRegistry()
        entry_metrics = EntryMetrics(self.metrics)
        resources = RequestResources(directory, control, entry_metrics, settings.queue_limit)
        self.requests = RequestService(resources)
        self.draining = False

    def describe(self) -> EntryDescription:
        """Returns the state of this entry for a dump."""
        return describe_entry(self)

    def reject_if_draining(self) -> None:
        """Rejects new work during a planned stop.

        Raises:
            EntryError: this entry is stopping.
        """
        if self.draining:
            raise draining_error()

    async def call_control(
        self, message: MessageStruct, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> MessageStruct:
        """Calls the control leader and returns its reply.

        Raises:
            EntryError: control is unavailable or refused the call.
        """
        try:
            reply = await self.control.call(message, timeout_s)
        except ControlUnavailableError as error:
            detail = "control did not reply; resend with the same key or operation ID"
            raise EntryError(503, "control_unavailable", detail, CONTROL_RETRY_AFTER_S) from error
        if isinstance(reply, Failure):
            status_code = FAILURE_STATUS_CODES.get(reply.code, 503)
            raise EntryError(status_code, reply.code, reply.detail, reply.retry_after_s)
        return reply
