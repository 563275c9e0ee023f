"""Errors of calls to the worker."""

from cicadatray.internal.agent.errors import AgentError


class WorkerUnansweredError(AgentError):
    """Raised when the worker gave no usable answer; it may still carry out the call later."""


class WorkerReplacedError(AgentError):
    """Raised when another incarnation of the worker answered; the addressed one has ended."""
