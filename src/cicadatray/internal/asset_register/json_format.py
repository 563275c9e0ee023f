"""Asset registers in JSON."""

import msgspec
from returns.result import Failure

from cicadatray.internal.asset_register.inventory_check import build_inventory
from cicadatray.internal.asset_register.register_format import ParseResult, register_format
from cicadatray.internal.settings.comments import remove_comments
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.internal.settings.structure import describe_unknown_key, show_value

WORKERS_KEY = "workers"


@register_format("json", ".json")
def parse_json(data: bytes) -> ParseResult:
    """Parses `{"workers": [...]}`, the form of an inventory, or only the list."""
    try:
        document = remove_comments(msgspec.json.decode(data))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure((DocumentFault("(document)", str(error), "a JSON document"),))
    if isinstance(document, list):
        return build_inventory(document, lambda index: f"[{index}]", [])
    if not isinstance(document, dict) or not isinstance(document.get(WORKERS_KEY), list):
        expected = 'a list, or an object with the list "workers"'
        return Failure((DocumentFault("(document)", show_value(document), expected),))
    unknown = [key for key in document if key != WORKERS_KEY]
    faults = [
        DocumentFault(key, show_value(document[key]), describe_unknown_key([WORKERS_KEY], key))
        for key in unknown
    ]
    return build_inventory(document[WORKERS_KEY], lambda index: f"workers[{index}]", faults)
