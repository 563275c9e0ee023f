"""Import of JSON documents with a given type."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.settings.comments import remove_comments
from cicadatray.internal.settings.errors import describe_faults
from cicadatray.internal.settings.structure import CheckResult, check_structure, merge_checks

DOCUMENT_LIMIT_BYTES = 1024 * 1024

Document = TypeVar("Document")
SemanticCheck = Callable[[dict[str, Any]], CheckResult]


def import_document(
    data: bytes, source: str, document_type: type[Document], check_semantics: SemanticCheck
) -> Document:
    """Returns the document; `source` is its file name.

    Raises:
        ImportRefusedError: the document is too large or faulty; lists all faults.
    """
    if len(data) > DOCUMENT_LIMIT_BYTES:
        raise ImportRefusedError(f"{source}: larger than {DOCUMENT_LIMIT_BYTES} bytes")
    try:
        value = remove_comments(msgspec.json.decode(data))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ImportRefusedError(f"{source}: {error}; expected a JSON document") from error
    checks = [check_structure(value, msgspec.inspect.type_info(document_type))]
    if isinstance(value, dict):
        checks.append(check_semantics(value))
    faults = merge_checks(checks).swap().value_or(())
    if faults:
        raise ImportRefusedError(describe_faults(source, faults), faults)
    return msgspec.convert(value, document_type)
