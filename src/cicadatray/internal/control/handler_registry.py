"""The registry of calls that a control instance answers."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from cicadatray.internal.wire.message import MessageStruct

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon

CallType = TypeVar("CallType", bound=MessageStruct)
CallHandler = Callable[["ControlDaemon", CallType], Awaitable[MessageStruct]]
call_handlers: dict[type[MessageStruct], CallHandler[MessageStruct]] = {}


def register_handler(
    call_type: type[CallType],
) -> Callable[[CallHandler[CallType]], CallHandler[CallType]]:
    """Returns a decorator that registers a coroutine function as the handler of a call type."""

    def register(handler: CallHandler[CallType]) -> CallHandler[CallType]:
        call_handlers[call_type] = handler  # type: ignore[assignment]
        return handler

    return register
