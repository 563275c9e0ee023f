"""Errors of the scheduling library."""


class SchedulingError(Exception):
    """Base class of the errors that misuse of the scheduling library raises."""


class UnknownJobError(SchedulingError):
    """Raised when no job has the given identifier."""


class UnknownPolicyError(SchedulingError):
    """Raised when no policy is registered under the given name."""


class UnknownRuleError(SchedulingError):
    """Raised when no rule is registered under the given name."""


class ConfigurationRefusedError(SchedulingError):
    """Raised when the rules cannot be satisfied by the inventory."""
