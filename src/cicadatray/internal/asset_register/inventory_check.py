"""Checks the rows of an asset register and builds the inventory."""

from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Success

from cicadatray.internal.asset_register.register_format import ParseResult
from cicadatray.internal.asset_register.worker_fields import WorkerFields
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.internal.settings.structure import check_structure, merge_checks, show_value
from cicadatray.scheduling.inventory import Inventory

WORKER_LIMIT = 20_000  # three times the design size
WORKER_TYPE = msgspec.inspect.type_info(WorkerFields)

Locate = Callable[[int], str]


def build_inventory(rows: list[Any], locate: Locate, faults: list[DocumentFault]) -> ParseResult:
    """Returns the inventory, or `faults` together with all faults of the rows.

    `locate` returns the location of a row, given its index, in the notation of the format.
    """
    if not 0 < len(rows) <= WORKER_LIMIT:
        expected = f"1 to {WORKER_LIMIT} workers"
        faults = [*faults, DocumentFault("(document)", f"{len(rows)} workers", expected)]
        return Failure(tuple(faults))
    checks = [check_structure(row, WORKER_TYPE, locate(index)) for index, row in enumerate(rows)]
    all_faults = (
        *faults,
        *merge_checks(checks).swap().value_or(()),
        *_find_duplicates(rows, locate),
    )
    if all_faults:
        return Failure(all_faults)
    records = [msgspec.convert(row, WorkerFields).to_record() for row in rows]
    return Success(Inventory(tuple(records)))


def _find_duplicates(rows: list[Any], locate: Locate) -> list[DocumentFault]:
    """Returns faults for repeated workers, whose accelerators would be counted twice."""
    first_index: dict[str, int] = {}
    faults: list[DocumentFault] = []
    for index, row in enumerate(rows):
        worker_id = row.get("worker_id") if isinstance(row, dict) else None
        if not isinstance(worker_id, str):
            continue
        if worker_id in first_index:
            expected = f"a worker_id that differs from {locate(first_index[worker_id])}"
            path = f"{locate(index)}.worker_id"
            faults.append(DocumentFault(path, show_value(worker_id), expected))
        first_index.setdefault(worker_id, index)
    return faults
