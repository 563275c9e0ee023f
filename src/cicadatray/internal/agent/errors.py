"""Errors of the agent layer."""


class AgentError(Exception):
    """Any failure inside an agent."""


class EndpointFailedError(AgentError):
    """The endpoint may have run the request, but gave no whole answer."""


class EndpointUnreachableError(AgentError):
    """No connection to the endpoint could be opened, so the request was not run."""


class WorkerFailedError(AgentError):
    """The worker did not carry out an order."""
