"""Messages about keys of non-idempotent requests."""

from enum import Enum
from typing import ClassVar

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class KeyState(Enum):
    """The state of a key; while `ASSIGNED`, the named agent may run the attempt."""

    ASSIGNED = "assigned"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class StoredAnswer(msgspec.Struct, frozen=True):
    """An endpoint's answer; `body` is None if only the agent holds it."""

    status_code: int
    content_type: str
    body: bytes | None


class KeyRecord(MessageStruct, frozen=True):
    """The record of a key; `claim_index` increases with every claim and reassignment."""

    state: KeyState
    digest: bytes
    agent_id: str
    agent_incarnation: str
    attempt: int
    claim_index: int
    answer: StoredAnswer | None = None
    claimed_at_s: float = 0.0


class ClaimKey(MessageStruct, frozen=True):
    """Assigns a new key to an agent and leaves an existing key as it is.

    A key that was resolved as not run is claimed again with the next attempt number. The reply is a
    `KeyRecord`.
    """

    client_account: str
    key: str
    digest: bytes
    agent_id: str
    agent_incarnation: str
    time_s: float = 0.0


class ReadKey(MessageStruct, frozen=True):
    """Asks for the record of a key. The reply is a `KeyRecord` or `KeyAbsent`."""

    changes_state: ClassVar[bool] = False

    client_account: str
    key: str


class KeyAbsent(MessageStruct, frozen=True):
    """The key was never claimed, or has expired."""


class ReassignKey(MessageStruct, frozen=True):
    """Assigns the next attempt to another agent, after `attempt` was permanently refused."""

    client_account: str
    key: str
    attempt: int
    agent_id: str
    agent_incarnation: str


class ResolveKey(MessageStruct, frozen=True):
    """Records the final outcome of `attempt`, unless one is recorded already."""

    client_account: str
    key: str
    attempt: int
    state: KeyState
    answer: StoredAnswer | None = None


class ExpireKeys(MessageStruct, frozen=True):
    """Removes keys that were claimed before this time."""

    claimed_before_s: float
