"""Errors of the agent layer."""


class AgentError(Exception):
    """Base class of the failures inside an agent."""


class EndpointFailedError(AgentError):
    """Raised when the endpoint may have run the request but gave no complete answer."""


class EndpointUnreachableError(AgentError):
    """Raised when no connection to the endpoint could be opened, so the request was not run."""


class WorkerFailedError(AgentError):
    """Raised when the worker did not carry out an order."""
