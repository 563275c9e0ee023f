"""Prints results and messages."""

import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

from cicadatray.internal.observability.redaction import REDACTED

COLUMN_GAP = "  "


class Output:
    """Prints results on the standard output and everything else on the standard error.

    Tables are drawn with borders on a terminal and printed as plain columns elsewhere. The
    credential is removed from every text, also when a response contains it.
    """

    __slots__ = ("credential", "is_json")

    def __init__(self, is_json: bool, credential: str = "") -> None:
        self.is_json = is_json
        self.credential = credential

    def print_json(self, value: Any) -> None:
        """Prints a value as indented JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self._print(encoded.decode())

    def print_text(self, text: str) -> None:
        """Prints trusted text without escaping control characters."""
        self._print(text.rstrip("\n"))

    def write_raw(self, data: bytes) -> None:
        """Writes the body of an endpoint's response unchanged."""
        sys.stdout.flush()
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()

    def print_note(self, text: str) -> None:
        """Prints a message on the standard error."""
        print(self.sanitise(text), file=sys.stderr, flush=True)

    def print_table(self, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
        """Prints a table with a header row."""
        cells = [[self._format_cell(value) for value in row] for row in rows]
        if not sys.stdout.isatty():
            self._print_plain_table(columns, cells)
            return
        table = Table(*columns)
        for row in cells:
            table.add_row(*[Text(cell) for cell in row])
        Console(file=sys.stdout).print(table)

    def print_fields(self, document: dict[str, Any]) -> None:
        """Prints the members of a JSON object, one per line."""
        width = max(map(len, document), default=0)
        for name, value in document.items():
            self._print(
                f"{escape_control_characters(name).ljust(width)}{COLUMN_GAP}"
                f"{self._format_cell(value)}"
            )

    @contextmanager
    def show_progress(self, text: str) -> Iterator[None]:
        """Shows a spinner on a terminal while the block runs; prints one line elsewhere."""
        if not sys.stderr.isatty():
            self.print_note(text)
            yield
            return
        with Console(file=sys.stderr).status(Text(self.sanitise(text))):
            yield

    def _print_plain_table(self, columns: Sequence[str], cells: list[list[str]]) -> None:
        rows = [list(columns), *cells]
        widths = [max(len(row[index]) for row in rows) for index in range(len(columns))]
        for row in rows:
            padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
            self._print(COLUMN_GAP.join(padded).rstrip())

    def _format_cell(self, value: Any) -> str:
        if value is None or value == "":
            return "-"
        text = value if isinstance(value, str) else msgspec.json.encode(value).decode()
        return escape_control_characters(self._redact(text))

    def _print(self, text: str) -> None:
        print(self._redact(text), flush=True)

    def sanitise(self, text: str) -> str:
        """Returns the text with the credential removed and control characters escaped per line."""
        lines = self._redact(text).split("\n")
        return "\n".join(escape_control_characters(line) for line in lines)

    def _redact(self, text: str) -> str:
        return text.replace(self.credential, REDACTED) if self.credential else text


def escape_control_characters(text: str) -> str:
    """Escapes control characters, which could alter what a terminal shows."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
