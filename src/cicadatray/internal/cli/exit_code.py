"""Exit codes of the tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script can rely on; docs/callers.md lists what to do for each."""

    OK = 0
    FAILED = 1
    """The endpoint answered with an error status, or the job failed or was cancelled."""
    USAGE = 2
    """The command line or the tool's own configuration is wrong; nothing was sent."""
    REFUSED = 3
    """The entry refused the content; sending it again gives the same answer."""
    NOT_RUN = 4
    """Not run and safe to repeat: overload, no endpoint, control not available."""
    OUTCOME_UNKNOWN = 5
    """It may have run. Repeat only with the same idempotency key or operation ID."""
    UNREACHABLE = 6
    """No entry could be reached; nothing was sent."""
    CONFLICT = 7
    """Another operator's change came first, or the key belongs to another request."""
    UNAUTHORIZED = 8
    """The credential is unknown or does not allow this."""
    NOT_FOUND = 9
    """No such job, process or service path."""
    TIMED_OUT = 10
    """The job had not ended within the time given to `job wait`."""
    FAULTY_DOCUMENT = 11
    """A settings file, asset register, rules or accounts document has faults."""
    INTERRUPTED = 130
    """Ended by the keyboard; what was sent may have run."""
