"""Errors of the platform adapter."""


class PlatformError(Exception):
    """The base class of the adapter's errors."""


class DocumentError(PlatformError):
    """A document cannot be decoded or is invalid; the message describes the fault."""


class BodyTooLargeError(DocumentError):
    """A request body exceeds the limit of its interface."""


class PlatformSettingsError(PlatformError):
    """The settings file cannot be read or lacks a required field."""
