"""Errors of the observability layer."""


class ObservabilityError(Exception):
    """Base class of the errors of metrics and state dumps."""


class MetricError(ObservabilityError):
    """Raised for an invalid metric name, conflicting registrations, wrong labels or a decrease."""


class DumpError(ObservabilityError):
    """Raised when a provider name is already in use or a dump cannot be written."""
