"""What the tool prints."""

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
    """Results go to the standard output, everything else to the standard error.

    Tables are drawn at a terminal and are plain columns elsewhere. The credential is removed from
    every text, whoever put it there.
    """

    __slots__ = ("credential", "json_wanted")

    def __init__(self, json_wanted: bool, credential: str = "") -> None:
        self.json_wanted = json_wanted
        self.credential = credential

    def document(self, value: Any) -> None:
        """Prints JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self._write(encoded.decode())

    def text(self, text: str) -> None:
        """Prints a text that is not from the deployment, as it is."""
        self._write(text.rstrip("\n"))

    def raw(self, data: bytes) -> None:
        """Writes an endpoint's body unchanged."""
        sys.stdout.flush()
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()

    def note(self, text: str) -> None:
        """Prints a line for people."""
        print(self.clean(text), file=sys.stderr, flush=True)

    def table(self, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
        """Prints rows under their column names."""
        cells = [[self._cell(value) for value in row] for row in rows]
        if not sys.stdout.isatty():
            self._plain_table(columns, cells)
            return
        table = Table(*columns)
        for row in cells:
            table.add_row(*[Text(cell) for cell in row])
        Console(file=sys.stdout).print(table)

    def fields(self, document: dict[str, Any]) -> None:
        """Prints the members of an object, one a line."""
        width = max(map(len, document), default=0)
        for name, value in document.items():
            self._write(f"{printable(name).ljust(width)}{COLUMN_GAP}{self._cell(value)}")

    @contextmanager
    def progress(self, text: str) -> Iterator[None]:
        """Shows a moving status at a terminal, and one line elsewhere, while the block runs."""
        if not sys.stderr.isatty():
            self.note(text)
            yield
            return
        with Console(file=sys.stderr).status(Text(self.clean(text))):
            yield

    def _plain_table(self, columns: Sequence[str], cells: list[list[str]]) -> None:
        rows = [list(columns), *cells]
        widths = [max(len(row[index]) for row in rows) for index in range(len(columns))]
        for row in rows:
            padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
            self._write(COLUMN_GAP.join(padded).rstrip())

    def _cell(self, value: Any) -> str:
        if value is None or value == "":
            return "-"
        text = value if isinstance(value, str) else msgspec.json.encode(value).decode()
        return printable(self._without_credential(text))

    def _write(self, text: str) -> None:
        print(self._without_credential(text), flush=True)

    def clean(self, text: str) -> str:
        """Returns lines for people without the credential and without control characters."""
        lines = self._without_credential(text).split("\n")
        return "\n".join(printable(line) for line in lines)

    def _without_credential(self, text: str) -> str:
        return text.replace(self.credential, REDACTED) if self.credential else text


def printable(text: str) -> str:
    """Escapes control characters, which could rewrite a terminal's contents."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
