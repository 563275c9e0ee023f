"""Settings of an agent."""

import msgspec

from cicadatray.internal.settings.common import Address, SettingsStruct


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside the agent: a plain HTTP service with limited slots and connections."""

    service: str
    address: Address
    slots: int = 8
    connections: int = 60


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The worker beside the agent, named as in the inventory."""

    worker_id: str
    address: Address


class AgentSettings(SettingsStruct, frozen=True, kw_only=True, tag="agent"):
    """An agent has an endpoint, a worker or both."""

    endpoint: EndpointSettings | None = None
    worker: WorkerSettings | None = None
    result_memory_bytes: int = 16 * 1024 * 1024
    result_retention_s: float = 3600.0
