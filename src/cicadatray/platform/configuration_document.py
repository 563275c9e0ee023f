"""Decoding and validation of the configurations that operators send."""

import hashlib

import msgspec

from cicadatray.internal.wire.messages.queue_configuration import (
    Pool,
    Queue,
    QueueAccount,
    QueueConfiguration,
)
from cicadatray.platform.configuration_schema import (
    MAX_VERSION,
    ConfigurationDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
)
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import MS_PER_S
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy


def decode_configuration(body: bytes, requires_accounts: bool = True) -> QueueConfiguration:
    """Returns the configuration in a request body.

    `requires_accounts` tells whether a complete document lists the accounts.

    Raises:
        DocumentError: the body is not a complete document or is invalid.
    """
    try:
        document = msgspec.json.decode(body, type=ConfigurationDocument)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise DocumentError(f"invalid configuration: {error}") from error
    if requires_accounts and document.tenants is None:
        raise DocumentError("field Tenants must be a list")
    version = _decode_version(document.version)
    # The platform names a pool of workers "service", a queue "route" and an account "tenant".
    pools = tuple(_decode_pool(service) for service in document.services)
    pool_names = {pool.name for pool in pools}
    queues = tuple(_decode_queue(route, pool_names) for route in document.routes)
    if len({(queue.host, queue.path_prefix) for queue in queues}) < len(queues):
        raise DocumentError("two routes have the same Host and PathPrefix")
    accounts = tuple(_decode_account(tenant) for tenant in document.tenants or ())
    digests = [digest for account in accounts for digest in set(account.credential_digests)]
    if len(set(digests)) < len(digests):
        raise DocumentError("two tenants share an API key")
    return QueueConfiguration(version, queues, pools, accounts)


def digest_credential(credential: str) -> bytes:
    """Returns the SHA-256 digest under which a credential is stored."""
    return hashlib.sha256(credential.encode()).digest()


def _decode_version(version: int | float) -> int:
    if version != int(version) or not 1 <= version <= MAX_VERSION:
        raise DocumentError(f"field Version must be an integer from 1 to {MAX_VERSION}")
    return int(version)


def _decode_pool(service: ServiceDocument) -> Pool:
    return Pool(
        service.name,
        has_admission_check=service.admission_check,
        is_standby=service.standby,
        health_path=service.health_path,
    )


def _decode_queue(route: RouteDocument, pool_names: set[str]) -> Queue:
    if route.service not in pool_names:
        raise DocumentError(f"route {route.name}: unknown Service {route.service}")
    policy = QueuePolicy(
        queue=route.name,
        pool=route.service,
        priority=int(route.priority),
        max_attempts=max(1, int(route.max_attempts)),
        stretch=route.stretch,
        target_latency_s=route.target_latency_ms / MS_PER_S,
    )
    return Queue(
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        policy=policy,
        is_public=route.public,
    )


def _decode_account(tenant: TenantDocument) -> QueueAccount:
    return QueueAccount(
        tenant.name,
        tuple(digest_credential(key) for key in tenant.api_keys or ()),
        int(tenant.guaranteed.gpus) if tenant.guaranteed is not None else 0,
    )
