"""Errors of the observability layer."""


class ObservabilityError(Exception):
    """Any misuse of metrics or state dumps."""


class MetricError(ObservabilityError):
    """A metric is registered twice with different properties, or used with other labels."""


class DumpError(ObservabilityError):
    """A provider name is taken, or the dump cannot be written."""
