"""One fault of a JSON or CSV document."""

import msgspec


class DocumentFault(msgspec.Struct, frozen=True, order=True):
    """`path` locates the value, `value` shows it, `expected` says what would be right."""

    path: str
    value: str
    expected: str

    def describe(self) -> str:
        """Returns the fault as one line of a report."""
        return f"{self.path}: {self.value}; expected {self.expected}"
