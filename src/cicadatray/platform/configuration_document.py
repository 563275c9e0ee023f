"""Decoding and validation of the configurations that operators send."""

import hashlib
from typing import Any

from cicadatray.internal.wire.messages.queue_configuration import (
    Pool,
    Queue,
    QueueAccount,
    QueueConfiguration,
)
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import (
    MS_PER_S,
    parse_json,
    read_boolean,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy


def decode_configuration(body: bytes) -> QueueConfiguration:
    """Returns the configuration in a request body.

    Raises:
        DocumentError: the body is not a complete document or is invalid.
    """
    document = parse_json(body)
    version = read_integer(document, "Version")
    if version < 1:
        raise DocumentError("field Version must be at least 1")
    # The platform names a pool of workers "service", a queue "route" and an account "tenant".
    pools = tuple(_decode_pool(item) for item in read_list(document, "Services", dict))
    pool_names = {pool.name for pool in pools}
    queues = tuple(
        _decode_queue(route, pool_names) for route in read_list(document, "Routes", dict)
    )
    if len({(queue.host, queue.path_prefix) for queue in queues}) < len(queues):
        raise DocumentError("two routes have the same Host and PathPrefix")
    accounts = tuple(_decode_account(item) for item in read_list(document, "Tenants", dict))
    digests = [digest for account in accounts for digest in set(account.credential_digests)]
    if len(set(digests)) < len(digests):
        raise DocumentError("two tenants share an API key")
    return QueueConfiguration(version, queues, pools, accounts)


def digest_credential(credential: str) -> bytes:
    """Returns the SHA-256 digest under which a credential is stored."""
    return hashlib.sha256(credential.encode()).digest()


def _decode_pool(service: dict[str, Any]) -> Pool:
    return Pool(
        read_string(service, "Name"),
        has_admission_check=read_boolean(service, "AdmissionCheck"),
        is_standby=read_boolean(service, "Standby"),
        health_path=read_string(service, "HealthPath", ""),
    )


def _decode_queue(route: dict[str, Any], pool_names: set[str]) -> Queue:
    name = read_string(route, "Name")
    pool = read_string(route, "Service")
    if pool not in pool_names:
        raise DocumentError(f"route {name}: unknown Service {pool}")
    if read_number(route, "TimeoutMs") == 0:
        raise DocumentError(f"route {name}: TimeoutMs must not be 0")
    policy = QueuePolicy(
        queue=name,
        pool=pool,
        priority=read_integer(route, "Priority", 0),
        max_attempts=max(1, read_integer(route, "MaxAttempts", 1)),
        stretch=read_number(route, "Stretch", 1.0),
        target_latency_s=read_number(route, "TargetLatencyMs", 0) / MS_PER_S,
    )
    return Queue(
        host=read_string(route, "Host").lower(),
        path_prefix=read_string(route, "PathPrefix"),
        policy=policy,
        is_public=read_boolean(route, "Public"),
    )


def _decode_account(tenant: dict[str, Any]) -> QueueAccount:
    keys = read_list(tenant, "ApiKeys", str)
    guaranteed = read_object(tenant, "Guaranteed")
    return QueueAccount(
        read_string(tenant, "Name"),
        tuple(digest_credential(key) for key in keys),
        read_integer(guaranteed, "Gpus", 0),
    )
