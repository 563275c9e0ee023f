"""Errors of calls to the worker."""

from cicadatray.internal.agent.errors import AgentError


class WorkerUnansweredError(AgentError):
    """Raised when the worker gave no usable answer; it may still carry out the call later."""


class WorkerUnreachableError(WorkerUnansweredError):
    """Raised when the worker's address refused the connection; the call was not carried out."""


class WorkerReplacedError(AgentError):
    """Raised when another incarnation of the worker answered; the addressed one has ended."""
