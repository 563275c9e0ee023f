"""Errors of the observability layer."""


class ObservabilityError(Exception):
    """Base class of the errors of metrics and state dumps."""


class MetricError(ObservabilityError):
    """Raised when a metric is registered again with other properties or used with other labels."""


class DumpError(ObservabilityError):
    """Raised when a provider name is already in use or a dump cannot be written."""
