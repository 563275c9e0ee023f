"""Life cycles as tables, for objects that are too many to hold a state machine each."""

from enum import Enum
from typing import Generic, TypeVar

from transitions import Machine

State = TypeVar("State", bound=Enum)


class LifecycleTable(Generic[State]):
    """The transitions of one machine, without a model that holds the present state."""

    __slots__ = ("moves",)

    def __init__(
        self, state_type: type[State], initial: State, transitions: list[list[str | list[str]]]
    ) -> None:
        """Each transition is a trigger, one or more sources and a target, by enum value."""
        machine = Machine(
            model=None,
            states=[state.value for state in state_type],
            initial=initial.value,
            auto_transitions=False,
            transitions=transitions,  # type: ignore[arg-type]  # its stub lacks lists of sources
        )
        self.moves: dict[str, dict[State, State]] = {
            name: {
                state_type(move.source): state_type(move.dest)
                for moves in event.transitions.values()
                for move in moves
            }
            for name, event in machine.events.items()
        }

    def next_state(self, state: State, trigger: str) -> State | None:
        """Returns the state after a trigger, or None where the trigger is not allowed."""
        return self.moves[trigger].get(state)
