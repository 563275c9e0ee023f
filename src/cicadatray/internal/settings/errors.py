"""Errors of the settings layer."""

from cicadatray.internal.settings.document_fault import DocumentFault


class SettingsError(Exception):
    """The settings cannot be used; the text lists every fault, `faults` holds them."""

    def __init__(self, text: str, faults: tuple[DocumentFault, ...] = ()) -> None:
        super().__init__(text)
        self.faults = faults


def describe_faults(source: str, faults: tuple[DocumentFault, ...]) -> str:
    """Returns one report of all faults of a document."""
    noun = "fault" if len(faults) == 1 else "faults"
    lines = [f"{source}: {len(faults)} {noun}"]
    lines += [f"  {fault.describe()}" for fault in faults]
    return "\n".join(lines)
