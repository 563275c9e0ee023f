"""State machine of a replica's role."""

from transitions import Machine, MachineError

from cicadatray.replication.errors import ReplicationError
from cicadatray.replication.role import Role

_ACTIVE = [role.value for role in Role if role is not Role.STOPPED]
_TRANSITIONS = [
    {"trigger": "follow", "source": _ACTIVE, "dest": Role.FOLLOWER.value},
    {"trigger": "learn", "source": _ACTIVE, "dest": Role.LEARNER.value},
    {
        "trigger": "start_pre_vote",
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
    """The protocol does not allow this change of role."""


class RoleLifecycle(Machine):
    """Holds the current role, which is learner until the log makes the member a voter."""

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
        """Changes the role by the transition with this trigger.

        Raises:
            RoleTransitionError: the current role does not allow the transition.
        """
        try:
            self.trigger(trigger)
        except MachineError as error:
            raise RoleTransitionError(str(error)) from error
