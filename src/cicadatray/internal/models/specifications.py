"""Imports the modules that register specifications."""

from importlib import import_module

SPECIFICATION_MODULES = (
    "elections_and_commit",
    "leader_lease_reads",
    "disk_loss_and_membership",
    "promised_disk_losses",
    "gang_start_with_leases",
    "at_most_once",
    "configuration_in_force",
    "evacuation",
)


def load() -> None:
    """Registers every specification; later calls change nothing."""
    for module in SPECIFICATION_MODULES:
        import_module(f"cicadatray.internal.models.{module}")
