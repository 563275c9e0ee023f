"""Which role of a replica may follow which."""

from transitions import Machine, MachineError

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.role import Role

_ACTIVE = [role.value for role in Role if role is not Role.STOPPED]
_TRANSITIONS = [
    {"trigger": "follow", "source": _ACTIVE, "dest": Role.FOLLOWER.value},
    {"trigger": "learn", "source": _ACTIVE, "dest": Role.LEARNER.value},
    {
        "trigger": "ask",
        "source": [Role.FOLLOWER.value],
        "dest": Role.PRE_CANDIDATE.value,
    },
    {
        "trigger": "campaign",
        "source": [Role.PRE_CANDIDATE.value, Role.FOLLOWER.value],
        "dest": Role.CANDIDATE.value,
    },
    {"trigger": "lead", "source": [Role.CANDIDATE.value], "dest": Role.LEADER.value},
    {"trigger": "stop", "source": _ACTIVE, "dest": Role.STOPPED.value},
]


class RoleTransitionError(ReplicationError):
    """A role change that the protocol does not have."""


class RoleLifecycle(Machine):
    """The current role; starts as a learner until the log tells that the member is a voter."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(
            states=[role.value for role in Role],
            initial=Role.LEARNER.value,
            transitions=_TRANSITIONS,
            auto_transitions=False,
        )

    @property
    def role(self) -> Role:
        """The current role."""
        return Role(self.state)

    def change(self, trigger: str) -> None:
        """Runs a transition by its name.

        Raises:
            RoleTransitionError: the current role does not allow it.
        """
        try:
            self.trigger(trigger)
        except MachineError as error:
            raise RoleTransitionError(str(error)) from error
