"""The identity of one process of a worker."""

import msgspec


class WorkerIdentity(msgspec.Struct, frozen=True):
    """A worker's identifier and the start of its process.

    A worker may start again under its identifier. `born_ms` is when the process started, in
    milliseconds since 1970, and 0 for a worker that does not tell.
    """

    identifier: str
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """The name by which the product knows this process of the worker, and no other."""
        return f"{self.identifier}@{self.born_ms}" if self.born_ms else self.identifier
