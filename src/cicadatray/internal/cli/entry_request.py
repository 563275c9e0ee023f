"""A request from the tool to an entry."""

import msgspec

ATTEMPT_TIMEOUT_S = 15.0  # above the 5 s within which control must reply to an entry


class EntryRequest(msgspec.Struct, frozen=True):
    """One request; it must be safe to send again unchanged.

    `is_change` is true if the request may have taken effect although its response was lost, which
    makes the outcome unknown. `is_resend` is true if an earlier invocation may have sent the same
    request. `timeout_s` limits one attempt.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = {}
    is_change: bool = False
    is_resend: bool = False
    timeout_s: float = ATTEMPT_TIMEOUT_S
