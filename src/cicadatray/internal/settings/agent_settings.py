"""Settings of an agent."""

import msgspec

from cicadatray.internal.settings.common import (
    Address,
    Name,
    PositiveInteger,
    PositiveNumber,
    SettingsStruct,
)


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside the agent: a plain HTTP service with limited slots and connections."""

    service: Name
    """The service that callers name in the request path."""
    address: Address
    """Where the endpoint serves HTTP."""
    slots: PositiveInteger = 8
    """Requests that the endpoint can run at the same time."""
    connections: PositiveInteger = 60
    """Connections that the endpoint accepts; at least `slots`."""


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The worker beside the agent."""

    worker_id: Name
    """The worker's name in the inventory."""
    address: Address
    """Where the worker serves its HTTP interface."""


class AgentSettings(SettingsStruct, frozen=True, kw_only=True, tag="agent"):
    """An agent has an endpoint, a worker or both."""

    endpoint: EndpointSettings | None = None
    """The endpoint beside the agent, if there is one."""
    worker: WorkerSettings | None = None
    """The worker beside the agent, if there is one."""
    result_memory_bytes: PositiveInteger = 16 * 1024 * 1024
    """Memory for results of non-idempotent requests that are retained for resends."""
    result_retention_s: PositiveNumber = 3600.0
    """How long such a result is retained, in seconds."""
