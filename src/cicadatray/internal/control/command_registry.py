"""The registry of commands that the replicated state applies."""

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from cicadatray.internal.wire.message import MessageStruct

if TYPE_CHECKING:
    from cicadatray.internal.control.control_state import ControlState

CommandType = TypeVar("CommandType", bound=MessageStruct)
Applier = Callable[["ControlState", int, CommandType], MessageStruct]
appliers: dict[type[MessageStruct], Applier[MessageStruct]] = {}


def register_applier(
    command_type: type[CommandType],
) -> Callable[[Applier[CommandType]], Applier[CommandType]]:
    """Returns a decorator that registers a function to apply commands of this type.

    Appliers must be deterministic: they use only the state, the log index and the command.
    """

    def register(applier: Applier[CommandType]) -> Applier[CommandType]:
        appliers[command_type] = applier  # type: ignore[assignment]
        return applier

    return register
