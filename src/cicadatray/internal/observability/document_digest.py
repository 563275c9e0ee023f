"""A short name for the content of a document, for log lines."""

import hashlib

DIGEST_DIGITS = 12


def digest_document(document: bytes) -> str:
    """Returns the first digits of the SHA-256 of a document, in hexadecimal."""
    return hashlib.sha256(document).hexdigest()[:DIGEST_DIGITS]
