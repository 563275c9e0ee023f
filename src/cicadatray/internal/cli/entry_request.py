"""A request of the tool to an entry."""

import msgspec

ATTEMPT_TIMEOUT_S = 15.0  # above the 5 s that an entry gives control to answer


class EntryRequest(msgspec.Struct, frozen=True):
    """One request; it is sent again unchanged, so everything in it must allow that.

    `changes` tells that a lost answer leaves open whether something has happened.
    `repeats` tells that an earlier invocation may have sent it. `timeout_s` bounds one attempt.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = {}
    changes: bool = False
    repeats: bool = False
    timeout_s: float = ATTEMPT_TIMEOUT_S
