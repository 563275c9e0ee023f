"""Errors of the scheduling library."""


class SchedulingError(Exception):
    """Any misuse of the scheduling library."""


class UnknownJobError(SchedulingError):
    """No job with this identifier is known."""


class UnknownPolicyError(SchedulingError):
    """No policy is registered under this name."""


class ConfigurationRefusedError(SchedulingError):
    """The inventory and the rules do not fit together."""
