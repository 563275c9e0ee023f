"""Errors of the control layer."""


class ControlError(Exception):
    """Any failure inside a control instance."""


class LeadershipLostError(ControlError):
    """This instance no longer leads, so it must not act for the group."""


class StateError(ControlError):
    """A snapshot of the control state cannot be restored."""
