"""Transition tables of state machines, for objects too numerous to hold a machine each."""

from enum import Enum
from typing import Generic, TypeVar

from transitions import Machine

State = TypeVar("State", bound=Enum)


class LifecycleTable(Generic[State]):
    """Stores the transitions of one state machine; the caller stores the current state."""

    __slots__ = ("next_states",)

    def __init__(
        self, state_type: type[State], initial: State, transitions: list[list[str | list[str]]]
    ) -> None:
        """Builds the table; each transition is a trigger, its source or sources, and a target.

        Sources and targets are values of `state_type`.
        """
        machine = Machine(
            model=None,
            states=[state.value for state in state_type],
            initial=initial.value,
            auto_transitions=False,
            transitions=transitions,  # type: ignore[arg-type]  # its stub lacks lists of sources
        )
        self.next_states: dict[str, dict[State, State]] = {
            name: {
                state_type(transition.source): state_type(transition.dest)
                for same_source in event.transitions.values()
                for transition in same_source
            }
            for name, event in machine.events.items()
        }

    def next_state(self, state: State, trigger: str) -> State | None:
        """Returns the state after a trigger, or None where the trigger is not allowed."""
        return self.next_states[trigger].get(state)
