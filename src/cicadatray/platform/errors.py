"""Errors of the adapter."""


class PlatformError(Exception):
    """Any failure of the adapter."""


class DocumentError(PlatformError):
    """A document of the platform cannot be read or is invalid; the text says where."""


class PlatformSettingsError(PlatformError):
    """The platform's settings file cannot be read or lacks a needed field."""
