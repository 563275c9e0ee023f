"""Errors of the settings."""

from cicadatray.internal.settings.document_fault import DocumentFault


class SettingsError(Exception):
    """Raised for unusable settings; the text lists all faults, which `faults` holds."""

    def __init__(self, text: str, faults: tuple[DocumentFault, ...] = ()) -> None:
        super().__init__(text)
        self.faults = faults


def describe_faults(source: str, faults: tuple[DocumentFault, ...]) -> str:
    """Returns a report of all faults of a document, one line for each."""
    noun = "fault" if len(faults) == 1 else "faults"
    lines = [f"{source}: {len(faults)} {noun}"]
    lines += [f"  {fault.describe()}" for fault in faults]
    return "\n".join(lines)
