"""The address from which this process opens connections.

An instance with several addresses must be recognisable by the one that its settings name.
"""

ANY_HOSTS = frozenset({"", "0.0.0.0", "::"})


class SourceAddress:
    """Set once when the process starts; None leaves the choice to the system."""

    __slots__ = ("host",)

    def __init__(self) -> None:
        self.host: str | None = None

    def bind(self, host: str) -> None:
        """Makes later connections leave from `host`, unless that means every address."""
        self.host = None if host in ANY_HOSTS else host

    def local_address(self) -> tuple[str, int] | None:
        """Returns the value of `local_addr` for `asyncio.open_connection`."""
        return (self.host, 0) if self.host is not None else None


SOURCE_ADDRESS = SourceAddress()
