"""Errors of the document import."""

from cicadatray.internal.settings.document_fault import DocumentFault


class ImportRefusedError(Exception):
    """Raised for unusable documents; the text lists all faults, which `faults` holds."""

    def __init__(self, text: str, faults: tuple[DocumentFault, ...] = ()) -> None:
        super().__init__(text)
        self.faults = faults
