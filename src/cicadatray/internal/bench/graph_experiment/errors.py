"""Errors of the experiment."""


class ExperimentError(Exception):
    """Base class of the errors of the experiment."""


class InvalidPlanError(ExperimentError):
    """A policy placed work beyond the capacity of a worker, or placed it twice."""
