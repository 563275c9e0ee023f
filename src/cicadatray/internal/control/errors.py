"""Errors of the control layer."""


class ControlError(Exception):
    """Base class of failures inside a control instance."""


class LeadershipLostError(ControlError):
    """This instance no longer leads, so it must not act for the group."""


def leadership_lost(errors: BaseExceptionGroup[BaseException]) -> LeadershipLostError:
    """Returns the first error of a possibly nested group as a `LeadershipLostError`."""
    first = errors.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return leadership_lost(first)
    return LeadershipLostError(str(first))


class StateError(ControlError):
    """A snapshot of the control state cannot be restored."""
