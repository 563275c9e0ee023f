"""Errors of the experiment."""


class ExperimentError(Exception):
    """Any failure of the experiment itself."""


class PlanBrokenError(ExperimentError):
    """A policy placed work where there is no room, or twice."""
