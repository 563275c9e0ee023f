"""The source address of this process's connections.

An instance with several addresses must be recognisable by the address that its settings name.
"""

WILDCARD_HOSTS = frozenset({"", "0.0.0.0", "::"})


class SourceAddress:
    """Holds the source address, set once when the process starts; None lets the system choose."""

    __slots__ = ("host",)

    def __init__(self) -> None:
        self.host: str | None = None

    def bind(self, host: str) -> None:
        """Sets the source address of later connections; a wildcard address resets it."""
        self.host = None if host in WILDCARD_HOSTS else host

    def local_address(self) -> tuple[str, int] | None:
        """Returns the value of `local_addr` for `asyncio.open_connection`."""
        return (self.host, 0) if self.host is not None else None


SOURCE_ADDRESS = SourceAddress()
