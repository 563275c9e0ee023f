"""The state of a call to control across its attempts."""

import asyncio

import structlog

from cicadatray.internal.wire.call_trace import CallTrace
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import Failure, MessageStruct

# No instance answers faster.
SHORTEST_ATTEMPT_S = 0.000_1

log = structlog.get_logger(__name__)


class ControlUnavailableError(WireError):
    """No control instance replied to the call in time, or the outcome of the call is unknown.

    `may_have_effect` is False only if no instance can have acted on the call.
    """

    def __init__(self, reason: str, may_have_effect: bool = True) -> None:
        super().__init__(reason)
        self.may_have_effect = may_have_effect


class ControlInDoubtError(ControlUnavailableError):
    """Control refused an attempt of the call, but may have acted on an earlier one.

    `refusal` speaks for the last attempt only.
    """

    def __init__(self, refusal: Failure, doubt: str) -> None:
        super().__init__(
            f"an attempt was refused as {refusal.code}, an earlier one is in doubt: {doubt}"
        )
        self.refusal = refusal


class RetriedCall:
    """Tracks the deadline and the failed attempts of one call.

    `deadline_s` is on the event loop's clock; each attempt may take up to `attempt_timeout_s`.
    `trace` sums up the attempts, of former calls for the same purpose as well. `may_have_effect` is
    set once control may have acted on an attempt, `doubt` is why the last such attempt failed, and
    `last_error` why the last attempt of all failed.
    """

    __slots__ = (
        "attempt_timeout_s",
        "deadline_s",
        "doubt",
        "last_error",
        "may_have_effect",
        "message",
        "trace",
    )

    def __init__(
        self,
        message: MessageStruct,
        timeout_s: float,
        attempt_timeout_s: float,
        trace: CallTrace | None = None,
        may_have_effect: bool = False,
    ) -> None:
        self.message = message
        self.deadline_s = asyncio.get_running_loop().time() + timeout_s
        self.attempt_timeout_s = attempt_timeout_s
        self.last_error = "no leader is known"
        self.may_have_effect = may_have_effect
        self.doubt = "an earlier call got no reply"
        self.trace = trace or CallTrace()

    def remaining_s(self) -> float:
        """Returns the time left for all further attempts, and 0 if it is too short for one.

        A wait may end just before the deadline by rounding, and so may each further one.
        """
        remaining_s = self.deadline_s - asyncio.get_running_loop().time()
        return remaining_s if remaining_s >= SHORTEST_ATTEMPT_S else 0.0

    def next_timeout_s(self) -> float:
        """Returns the timeout of the next attempt."""
        return min(self.remaining_s(), self.attempt_timeout_s)

    async def pause(self, duration_s: float) -> None:
        """Waits before the next attempt, but not beyond the deadline."""
        await asyncio.sleep(max(0.0, min(duration_s, self.remaining_s())))

    def record_failure(self, reason: str, may_have_effect: bool) -> None:
        """Records an attempt that got no final reply, and whether control may have acted on it."""
        self.last_error = reason
        if may_have_effect:
            self.may_have_effect = True
            self.doubt = reason

    def accept_reply(self, reply: MessageStruct) -> MessageStruct:
        """Returns a reply of control, if it tells the outcome of the whole call.

        A refusal tells it only if no earlier attempt can have had an effect. An earlier attempt may
        even have one later, so that the state of the leader does not tell it either.

        Raises:
            ControlInDoubtError: the reply refuses the last attempt, and an earlier one is in doubt.
        """
        is_refusal = isinstance(reply, Failure)
        if not is_refusal or not self.may_have_effect or not self.message.changes_state:
            return reply
        assert isinstance(reply, Failure)
        log.warning(
            "refusal after an attempt in doubt",
            call=type(self.message).__name__,
            code=reply.code,
            detail=reply.detail,
            asked=self.trace.asked,
            attempts=self.trace.attempts,
            doubt=self.doubt,
        )
        raise ControlInDoubtError(reply, self.doubt)

    def build_error(self) -> ControlUnavailableError:
        """Returns the error to raise when the deadline has passed."""
        return ControlUnavailableError(
            f"control did not answer in time: {self.last_error}", self.may_have_effect
        )
