"""Keys of non-idempotent requests."""

from enum import Enum

import msgspec

from cicadatray.internal.wire.message import MessageStruct


class KeyState(Enum):
    """`ASSIGNED` means that the named agent may run the attempt."""

    ASSIGNED = "assigned"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class StoredAnswer(msgspec.Struct, frozen=True):
    """An endpoint's answer; `body` is None when only the agent holds it."""

    status_code: int
    content_type: str
    body: bytes | None


class KeyRecord(MessageStruct, frozen=True):
    """What is recorded of a key. `claim_index` rises with every claim and reassignment."""

    state: KeyState
    digest: bytes
    agent_id: str
    agent_incarnation: str
    attempt: int
    claim_index: int
    answer: StoredAnswer | None = None
    claimed_at_s: float = 0.0


class ClaimKey(MessageStruct, frozen=True):
    """Assigns a new key to an agent; an existing key is left as it is. Answer: `KeyRecord`.

    A key that was resolved as not run is claimed anew with the next attempt number.
    """

    client_account: str
    key: str
    digest: bytes
    agent_id: str
    agent_incarnation: str
    time_s: float = 0.0


class ReadKey(MessageStruct, frozen=True):
    """Asks what is recorded of a key. Answer: `KeyRecord` or `KeyAbsent`."""

    client_account: str
    key: str


class KeyAbsent(MessageStruct, frozen=True):
    """The key has never been claimed, or has expired."""


class ReassignKey(MessageStruct, frozen=True):
    """Gives the next attempt to another agent, after `attempt` was refused for good."""

    client_account: str
    key: str
    attempt: int
    agent_id: str
    agent_incarnation: str


class ResolveKey(MessageStruct, frozen=True):
    """Records the final outcome of `attempt`; an earlier final outcome stays."""

    client_account: str
    key: str
    attempt: int
    state: KeyState
    answer: StoredAnswer | None = None


class ExpireKeys(MessageStruct, frozen=True):
    """Forgets keys claimed before this time."""

    claimed_before_s: float
