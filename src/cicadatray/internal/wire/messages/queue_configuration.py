"""The configuration of queues, as an operator sets it and every member stores it."""

import msgspec

from cicadatray.scheduling.taskgraphs.queue_policy import QueuePolicy


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """Jobs whose host and path prefix match; a public queue needs no credential."""

    host: str
    path_prefix: str
    policy: QueuePolicy
    is_public: bool = False


class Pool(msgspec.Struct, frozen=True, array_like=True):
    """Workers that serve queues. `has_admission_check`: they refuse what does not fit."""

    name: str
    has_admission_check: bool = False
    is_standby: bool = False
    health_path: str = ""


class QueueAccount(msgspec.Struct, frozen=True, array_like=True):
    """A client account with the SHA-256 digests of its credentials.

    `guaranteed_accelerators` belong to its jobs of priority 0 at all times.
    """

    name: str
    credential_digests: tuple[bytes, ...] = ()
    guaranteed_accelerators: int = 0


class QueueConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """The highest version ever accepted is in force; version 0 means that there is none yet."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    accounts: tuple[QueueAccount, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of the path."""
        matching = [q for q in self.queues if q.host == host and path.startswith(q.path_prefix)]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)

    def find_account(self, credential_digest: bytes) -> QueueAccount | None:
        """Returns the account that a credential belongs to."""
        for account in self.accounts:
            if credential_digest in account.credential_digests:
                return account
        return None
