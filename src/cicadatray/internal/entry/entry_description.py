"""The description of an entry's state that is shown to operators."""

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

import msgspec

from cicadatray.internal.entry.agent_peer import AgentPeer
from cicadatray.internal.entry.service_admission import ServiceAdmission
from cicadatray.internal.entry.shared_request import SharedRequest

if TYPE_CHECKING:
    from cicadatray.internal.entry.entry_context import EntryContext

MAX_LISTED_REQUESTS = 100


class ServiceDescription(msgspec.Struct, frozen=True):
    """The queue of one service.

    `turns` is the adaptive concurrency limit, `in_use` counts the requests in progress under it.
    """

    service: str
    slots: int
    turns: int
    in_use: int
    mean_hold_s: float
    waiting: dict[str, int]


class PeerDescription(msgspec.Struct, frozen=True):
    """One agent: the load that it last reported and the health of its endpoint."""

    agent_id: str
    incarnation: str
    service: str
    health: str
    failures_in_row: int
    ejections: int
    ejected_for_s: float
    running: int
    queued: int
    slots: int
    in_flight: int
    draining: bool


class RequestDescription(msgspec.Struct, frozen=True):
    """One request in progress, without its idempotency key and body, which belong to the caller."""

    trace_id: str
    client_account: str
    service: str
    non_idempotent: bool
    age_s: float
    remaining_s: float
    callers: int


class EntryDescription(msgspec.Struct, frozen=True):
    """The state of an entry.

    `requests` holds only the oldest requests in progress, `requests_in_progress` counts all.
    """

    draining: bool
    configuration_version: int
    configuration_age_s: float
    directory_term: int
    queue_limit: int
    waiting: int
    retry_balance: float
    services: tuple[ServiceDescription, ...]
    peers: tuple[PeerDescription, ...]
    requests_in_progress: int
    background_attempts: int
    requests: tuple[RequestDescription, ...]


def describe_entry(context: "EntryContext") -> EntryDescription:
    """Returns the current state of an entry."""
    now_s = asyncio.get_running_loop().time()
    directory, service = context.directory, context.requests
    resources = service.resources
    oldest = sorted(service.running, key=lambda shared: shared.started_s)
    return EntryDescription(
        draining=context.draining,
        configuration_version=directory.configuration.version if directory.configuration else 0,
        configuration_age_s=round(min(now_s - directory.confirmed_at_s, now_s), 3),
        directory_term=directory.term,
        queue_limit=resources.admission.queue_limit,
        waiting=resources.admission.waiting_count(),
        retry_balance=round(resources.retry_budget.balance, 1),
        services=tuple(
            _describe_service(admission) for admission in resources.admission.services.values()
        ),
        peers=tuple(_describe_peer(peer, now_s) for peer in directory.peers.values()),
        requests_in_progress=len(oldest),
        background_attempts=len(resources.background),
        requests=tuple(
            _describe_request(shared, now_s) for shared in islice(oldest, MAX_LISTED_REQUESTS)
        ),
    )


def _describe_service(admission: ServiceAdmission) -> ServiceDescription:
    queues = admission.queue.queues.items()
    return ServiceDescription(
        service=admission.service,
        slots=admission.slots(),
        turns=admission.concurrency_limit(),
        in_use=admission.in_use,
        mean_hold_s=round(admission.mean_hold_s, 4),
        waiting={name: len(queue.tickets) for name, queue in queues if queue.tickets},
    )


def _describe_peer(peer: AgentPeer, now_s: float) -> PeerDescription:
    health = peer.health
    return PeerDescription(
        agent_id=peer.record.agent_id,
        incarnation=peer.record.incarnation,
        service=peer.record.service,
        health=health.state.value,
        failures_in_row=health.failures_in_row,
        ejections=health.ejections,
        ejected_for_s=round(max(0.0, health.ejected_until_s - now_s), 3),
        running=peer.load.running,
        queued=peer.load.queued,
        slots=peer.load.slots,
        in_flight=peer.in_flight,
        draining=not peer.accepts_work(),
    )


def _describe_request(shared: SharedRequest, now_s: float) -> RequestDescription:
    request = shared.request
    return RequestDescription(
        trace_id=request.trace_id,
        client_account=request.client_account,
        service=request.service,
        non_idempotent=request.non_idempotent,
        age_s=round(now_s - shared.started_s, 3),
        remaining_s=round(request.remaining_s(), 3),
        callers=shared.waiters,
    )
