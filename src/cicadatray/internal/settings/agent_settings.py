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
    """The endpoint of the agent: a plain HTTP service with limited slots and connections."""

    service: Name
    """Name of the service in the request path of callers."""
    address: Address
    """Address at which the endpoint serves HTTP."""
    slots: PositiveInteger = 8
    """Maximum number of requests that the endpoint runs concurrently."""
    connections: PositiveInteger = 60
    """Maximum number of connections that the endpoint accepts; at least `slots`."""


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The worker attached to the agent."""

    worker_id: Name
    """Identifier of the worker in the inventory."""
    address: Address
    """Address at which the worker serves its HTTP interface."""


class AgentSettings(SettingsStruct, frozen=True, kw_only=True, tag="agent"):
    """An agent has an endpoint, a worker or both."""

    endpoint: EndpointSettings | None = None
    """The endpoint attached to the agent, if any."""
    worker: WorkerSettings | None = None
    """The worker attached to the agent, if any."""
    result_memory_bytes: PositiveInteger = 16 * 1024 * 1024
    """Memory, in bytes, for results of non-idempotent requests retained for resends."""
    result_retention_s: PositiveNumber = 3600.0
    """Time, in seconds, for which such a result is retained."""
