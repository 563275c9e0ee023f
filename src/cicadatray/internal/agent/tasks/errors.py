"""Errors of the agent's tasks."""

from cicadatray.internal.agent.errors import AgentError


class WorkerUnansweredError(AgentError):
    """The worker gave no usable answer; it may still carry out the call later."""


class WorkerReplacedError(AgentError):
    """Another incarnation of the worker answered: the one that was meant is gone."""
