"""Decodes and checks the configurations that operators send."""

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
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy


def decode_configuration(body: bytes) -> QueueConfiguration:
    """Returns the configuration in a body.

    Raises:
        DocumentError: it cannot be read in full or is invalid.
    """
    document = parse_json(body)
    version = read_integer(document, "Version")
    if version < 1:
        raise DocumentError("field Version: at least 1")
    pools = tuple(_decode_pool(entry) for entry in read_list(document, "Services", dict))
    pool_names = {pool.name for pool in pools}
    queues = tuple(_decode_queue(e, pool_names) for e in read_list(document, "Routes", dict))
    if len({(queue.host, queue.path_prefix) for queue in queues}) < len(queues):
        raise DocumentError("two routes share host and prefix")
    accounts = tuple(_decode_account(entry) for entry in read_list(document, "Tenants", dict))
    digests = [digest for account in accounts for digest in set(account.credential_digests)]
    if len(set(digests)) < len(digests):
        raise DocumentError("two tenants share a key")
    return QueueConfiguration(version, queues, pools, accounts)


def digest_credential(credential: str) -> bytes:
    """Returns the digest under which a credential is stored."""
    return hashlib.sha256(credential.encode()).digest()


def _decode_pool(entry: dict[str, Any]) -> Pool:
    return Pool(
        read_text(entry, "Name"),
        has_admission_check=read_flag(entry, "AdmissionCheck"),
        is_standby=read_flag(entry, "Standby"),
        health_path=read_text(entry, "HealthPath", ""),
    )


def _decode_queue(entry: dict[str, Any], pool_names: set[str]) -> Queue:
    name = read_text(entry, "Name")
    pool = read_text(entry, "Service")
    if pool not in pool_names:
        raise DocumentError(f"route {name} names the unknown service {pool}")
    if read_number(entry, "TimeoutMs") == 0:
        raise DocumentError(f"route {name} has no time-out")
    policy = QueuePolicy(
        queue=name,
        pool=pool,
        priority=read_integer(entry, "Priority", 0),
        max_attempts=max(1, read_integer(entry, "MaxAttempts", 1)),
        stretch=read_number(entry, "Stretch", 1.0),
        target_latency_s=read_number(entry, "TargetLatencyMs", 0) / MS_PER_S,
    )
    return Queue(
        host=read_text(entry, "Host").lower(),
        path_prefix=read_text(entry, "PathPrefix"),
        policy=policy,
        is_public=read_flag(entry, "Public"),
    )


def _decode_account(entry: dict[str, Any]) -> QueueAccount:
    keys = read_list(entry, "ApiKeys", str)
    guaranteed = read_object(entry, "Guaranteed")
    return QueueAccount(
        read_text(entry, "Name"),
        tuple(digest_credential(key) for key in keys),
        read_integer(guaranteed, "Gpus", 0),
    )
