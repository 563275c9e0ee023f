"""Errors of the entry layer."""


class EntryError(Exception):
    """An error response to a request; `code` is stable and machine-readable."""

    def __init__(
        self, status_code: int, code: str, detail: str, retry_after_s: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.status_code = status_code
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s
