"""Import of an asset register."""

from returns.result import Success

from cicadatray.internal.asset_register import csv_format, json_format
from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.asset_register.register_format import find_format
from cicadatray.internal.settings.errors import describe_faults
from cicadatray.scheduling.inventory import Inventory

# Importing these modules registers their formats.
FORMAT_MODULES = (csv_format, json_format)
REGISTER_LIMIT_BYTES = 8 * 1024 * 1024  # 20,000 workers at 400 bytes each


def import_inventory(data: bytes, source: str, format_name: str = "") -> Inventory:
    """Returns the inventory from an asset register; `source` is its file name.

    Raises:
        ImportRefusedError: the format is unknown, or the register is too large or faulty.
    """
    register_format = find_format(source, format_name)
    if len(data) > REGISTER_LIMIT_BYTES:
        raise ImportRefusedError(f"{source}: larger than {REGISTER_LIMIT_BYTES} bytes")
    parsed = register_format.parse(data)
    if isinstance(parsed, Success):
        inventory: Inventory = parsed.unwrap()
        return inventory
    faults = parsed.failure()
    raise ImportRefusedError(describe_faults(source, faults), faults)
