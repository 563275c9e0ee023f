"""Asset registers as CSV, as spreadsheets export them."""

import csv
import io
from typing import Any

import msgspec
from returns.result import Failure

from cicadatray.internal.asset_register.inventory_check import make_inventory
from cicadatray.internal.asset_register.register_format import Parsed, register_format
from cicadatray.internal.asset_register.worker_fields import WorkerFields
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.internal.settings.structure import describe_unknown_key

DELIMITERS = ",;\t"
CELL_LIMIT_CHARACTERS = 1000
FIELDS = tuple(field.name for field in msgspec.structs.fields(WorkerFields))
NUMBER_FIELDS = ("accelerators", "cores", "memory_gb")
# Column titles that the members' registers use besides the names of the fields.
ALIASES = {
    "worker": "worker_id",
    "hostname": "worker_id",
    "asset": "worker_id",
    "site": "data_centre",
    "zone": "data_centre",
    "datacentre": "data_centre",
    "data_center": "data_centre",
    "gpus": "accelerators",
    "cpu_cores": "cores",
    "memory": "memory_gb",
    "ram_gb": "memory_gb",
    "owner": "member",
    "organisation": "member",
}


@register_format("csv", ".csv")
def parse_csv(data: bytes) -> Parsed:
    """Takes a title row and one row for each worker; columns that are not needed are ignored.

    The delimiter is a comma, a semicolon or a tab; titles may be the field names or usual other
    words, in any case.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        shown = repr(data[error.start : error.start + 1])
        path = f"byte {error.start}"
        return Failure((DocumentFault(path, shown, "UTF-8 text"),))
    try:
        lines = _read_lines(text)
    except csv.Error as error:
        return Failure((DocumentFault("(document)", str(error), "a CSV table"),))
    if not lines:
        return Failure((DocumentFault("row 1", "no text", "a title row"),))
    titles = [_field_of(title) for title in lines[0][1]]
    title_faults = _check_titles(titles, lines[0][1])
    if title_faults:
        return Failure(tuple(title_faults))
    return _parse_rows(titles, lines[1:])


def _read_lines(text: str) -> list[tuple[int, list[str]]]:
    """Returns (line number, cells) of every row that is not blank."""
    first_line = text.lstrip().split("\n", 1)[0]
    delimiter = max(DELIMITERS, key=first_line.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    lines: list[tuple[int, list[str]]] = []
    for cells in reader:
        stripped = [cell.strip() for cell in cells]
        if any(stripped):
            lines.append((reader.line_num, stripped))
    return lines


def _field_of(title: str) -> str:
    normal = title.strip().lower().replace(" ", "_").replace("-", "_")
    return ALIASES.get(normal, normal)


def _check_titles(titles: list[str], shown: list[str]) -> list[DocumentFault]:
    faults: list[DocumentFault] = []
    for field in FIELDS:
        count = titles.count(field)
        if count == 0:
            others = [title for title in shown if _field_of(title) not in FIELDS]
            hint = describe_unknown_key(others, field) if others else "this title"
            expected = f'a column "{field}"; the nearest title is {hint}' if others else "a column"
            faults.append(DocumentFault(f"row 1, column {field}", "missing", expected))
        if count > 1:
            faults.append(DocumentFault(f"row 1, column {field}", f"{count} columns", "one column"))
    return faults


def _parse_rows(titles: list[str], lines: list[tuple[int, list[str]]]) -> Parsed:
    faults: list[DocumentFault] = []
    rows: list[Any] = []
    numbers: list[int] = []
    for number, cells in lines:
        if len(cells) != len(titles):
            expected = f"{len(titles)} cells as in the title row"
            faults.append(DocumentFault(f"row {number}", f"{len(cells)} cells", expected))
            continue
        rows.append(
            {
                field: _value(field, cell)
                for field, cell in zip(titles, cells, strict=True)
                if field in FIELDS
            }
        )
        numbers.append(number)
    return make_inventory(rows, lambda index: f"row {numbers[index]}", faults)


def _value(field: str, cell: str) -> Any:
    """Returns a number where one is wanted and given; another text is reported by the check."""
    if field in NUMBER_FIELDS and cell.isascii() and cell.isdecimal():
        return int(cell[:CELL_LIMIT_CHARACTERS])
    return cell[:CELL_LIMIT_CHARACTERS]
