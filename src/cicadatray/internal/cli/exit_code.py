"""Exit codes of the command line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that scripts can rely on; docs/callers.md lists how to handle each."""

    OK = 0
    FAILED = 1
    """The endpoint returned an error status, or the job failed or was cancelled."""
    USAGE = 2
    """The command line or the tool's own configuration is wrong; nothing was sent."""
    REFUSED = 3
    """The entry refused the content; sending it again gives the same result."""
    NOT_RUN = 4
    """The request was not run and is safe to resend: overload, no endpoint, control unavailable."""
    OUTCOME_UNKNOWN = 5
    """The request may have run. Resend only with the same idempotency key or operation ID."""
    UNREACHABLE = 6
    """No entry responded, and nothing was changed."""
    CONFLICT = 7
    """Another operator's change was accepted first, or the key belongs to another request."""
    UNAUTHORIZED = 8
    """The credential is unknown or does not permit the command."""
    NOT_FOUND = 9
    """The job, process or service path does not exist."""
    TIMED_OUT = 10
    """The job had not ended within the time given to `job wait`."""
    FAULTY_DOCUMENT = 11
    """A settings file, asset register, rules or accounts document has faults."""
    INTERRUPTED = 130
    """The user interrupted the command; a request that was already sent may have run."""
