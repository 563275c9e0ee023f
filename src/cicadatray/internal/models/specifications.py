"""Imports the modules that register specifications."""

from importlib import import_module

SPECIFICATION_MODULES = ("at_most_once", "gang_start_with_leases")


def load() -> None:
    """Registers every specification; later calls change nothing."""
    for module in SPECIFICATION_MODULES:
        import_module(f"cicadatray.internal.models.{module}")
