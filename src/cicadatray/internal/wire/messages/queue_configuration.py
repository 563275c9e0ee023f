"""The configuration of queues, set by an operator and replicated to every member."""

import msgspec

from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue for all jobs with this host and path prefix; a public queue needs no credential."""

    host: str
    path_prefix: str
    policy: QueuePolicy
    is_public: bool = False


class Pool(msgspec.Struct, frozen=True, array_like=True):
    """A pool of workers; with `has_admission_check` they refuse runs that exceed their capacity.

    `is_standby` and `health_path` are stored but have no effect.
    """

    name: str
    has_admission_check: bool = False
    is_standby: bool = False
    health_path: str = ""


class QueueAccount(msgspec.Struct, frozen=True, array_like=True):
    """A client account with the SHA-256 digests of its credentials.

    `guaranteed_accelerators` are always available to its jobs of priority 0.
    """

    name: str
    credential_digests: tuple[bytes, ...] = ()
    guaranteed_accelerators: int = 0


class QueueConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """One version of the queue configuration; the highest accepted version is in effect.

    Version 0 means that no queues are configured yet.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    accounts: tuple[QueueAccount, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of the host with the longest matching path prefix."""
        matching = [q for q in self.queues if q.host == host and path.startswith(q.path_prefix)]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)

    def has_queue(self, name: str) -> bool:
        """Returns whether a queue of this name is configured."""
        return any(queue.policy.queue == name for queue in self.queues)

    def find_account(self, credential_digest: bytes) -> QueueAccount | None:
        """Returns the account to which a credential belongs."""
        for account in self.accounts:
            if credential_digest in account.credential_digests:
                return account
        return None
