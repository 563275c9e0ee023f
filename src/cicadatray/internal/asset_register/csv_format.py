"""Asset registers in CSV, as exported from spreadsheets."""

import csv
import io
from typing import Any

import msgspec
from returns.result import Failure

from cicadatray.internal.asset_register.inventory_check import build_inventory
from cicadatray.internal.asset_register.register_format import ParseResult, register_format
from cicadatray.internal.asset_register.worker_fields import WorkerFields
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.internal.settings.structure import describe_unknown_key

DELIMITERS = ",;\t"
CELL_LIMIT_CHARACTERS = 1000  # `int` raises above 4300 digits
FIELDS = tuple(field.name for field in msgspec.structs.fields(WorkerFields))
NUMBER_FIELDS = ("accelerators", "cores", "memory_gb")
# Other column titles in the registers of the organisations that own workers, with their fields.
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
def parse_csv(data: bytes) -> ParseResult:
    """Parses a title row and one row for each worker; other columns are ignored.

    The delimiter is a comma, a semicolon or a tab. Titles are field names or their aliases;
    case is ignored.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        byte = repr(data[error.start : error.start + 1])
        path = f"byte {error.start}"
        return Failure((DocumentFault(path, byte, "UTF-8 text"),))
    try:
        rows = _read_rows(text)
    except csv.Error as error:
        return Failure((DocumentFault("(document)", str(error), "a CSV table"),))
    if not rows:
        return Failure((DocumentFault("row 1", "no text", "a title row"),))
    titles = [_field_name(title) for title in rows[0][1]]
    title_faults = _check_titles(titles, rows[0][1])
    if title_faults:
        return Failure(tuple(title_faults))
    return _parse_rows(titles, rows[1:])


def _read_rows(text: str) -> list[tuple[int, list[str]]]:
    """Returns the (line number, cells) pairs of all rows that are not blank."""
    first_line = text.lstrip().split("\n", 1)[0]
    delimiter = max(DELIMITERS, key=first_line.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    rows: list[tuple[int, list[str]]] = []
    for cells in reader:
        stripped = [cell.strip() for cell in cells]
        if any(stripped):
            rows.append((reader.line_num, stripped))
    return rows


def _field_name(title: str) -> str:
    normalized = title.strip().lower().replace(" ", "_").replace("-", "_")
    return ALIASES.get(normalized, normalized)


def _check_titles(titles: list[str], original_titles: list[str]) -> list[DocumentFault]:
    faults: list[DocumentFault] = []
    for field in FIELDS:
        count = titles.count(field)
        if count == 0:
            others = [title for title in original_titles if _field_name(title) not in FIELDS]
            hint = describe_unknown_key(others, field) if others else "this title"
            expected = f'a column "{field}"; the nearest title is {hint}' if others else "a column"
            faults.append(DocumentFault(f"row 1, column {field}", "missing", expected))
        if count > 1:
            faults.append(DocumentFault(f"row 1, column {field}", f"{count} columns", "one column"))
    return faults


def _parse_rows(titles: list[str], rows: list[tuple[int, list[str]]]) -> ParseResult:
    faults: list[DocumentFault] = []
    workers: list[Any] = []
    line_numbers: list[int] = []
    for line_number, cells in rows:
        if len(cells) != len(titles):
            expected = f"{len(titles)} cells as in the title row"
            faults.append(DocumentFault(f"row {line_number}", f"{len(cells)} cells", expected))
            continue
        workers.append(
            {
                field: _parse_cell(field, cell)
                for field, cell in zip(titles, cells, strict=True)
                if field in FIELDS
            }
        )
        line_numbers.append(line_number)
    return build_inventory(workers, lambda index: f"row {line_numbers[index]}", faults)


def _parse_cell(field: str, cell: str) -> Any:
    """Returns a number for a number field if possible, else the text, reported as a fault later."""
    if field in NUMBER_FIELDS and cell.isascii() and cell.isdecimal():
        return int(cell[:CELL_LIMIT_CHARACTERS])
    return cell[:CELL_LIMIT_CHARACTERS]
