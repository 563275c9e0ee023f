"""One fault of a JSON or CSV document."""

import msgspec


class DocumentFault(msgspec.Struct, frozen=True, order=True):
    """A faulty value: its location, the value as text and a description of valid values."""

    path: str
    value: str
    expected: str

    def describe(self) -> str:
        """Returns the fault as one line of a fault report."""
        return f"{self.path}: {self.value}; expected {self.expected}"
