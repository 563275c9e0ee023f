"""One call to control over all its attempts."""

import asyncio

from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import MessageStruct


class ControlUnavailableError(WireError):
    """No control instance carried out the call in time.

    `may_have_effect` is False only when no instance can have acted on it.
    """

    def __init__(self, reason: str, may_have_effect: bool = True) -> None:
        super().__init__(reason)
        self.may_have_effect = may_have_effect


class CallAttempt:
    """Ends at `deadline_s` on the event loop's clock; each try may take `attempt_timeout_s`."""

    __slots__ = ("attempt_timeout_s", "deadline_s", "last_error", "may_have_effect", "message")

    def __init__(self, message: MessageStruct, timeout_s: float, attempt_timeout_s: float) -> None:
        self.message = message
        self.deadline_s = asyncio.get_running_loop().time() + timeout_s
        self.attempt_timeout_s = attempt_timeout_s
        self.last_error = "no leader is known"
        self.may_have_effect = False

    def remaining_s(self) -> float:
        """Returns the time left for all further tries."""
        return self.deadline_s - asyncio.get_running_loop().time()

    def time_s(self) -> float:
        """Returns the time for the next try."""
        return min(self.remaining_s(), self.attempt_timeout_s)

    def note(self, reason: str, may_have_effect: bool) -> None:
        """Notes a try without an answer."""
        self.last_error = reason
        self.may_have_effect = self.may_have_effect or may_have_effect

    def failure(self) -> ControlUnavailableError:
        """Returns the error for the caller."""
        return ControlUnavailableError(
            f"control did not answer in time: {self.last_error}", self.may_have_effect
        )
