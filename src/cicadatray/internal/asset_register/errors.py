"""Errors of the import."""

from cicadatray.internal.settings.document_fault import DocumentFault


class ImportRefusedError(Exception):
    """A document cannot be imported; the text lists every fault, `faults` holds them."""

    def __init__(self, text: str, faults: tuple[DocumentFault, ...] = ()) -> None:
        super().__init__(text)
        self.faults = faults
