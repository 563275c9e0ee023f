"""Errors of the settings layer."""


class SettingsError(Exception):
    """The settings cannot be used; the text lists every fault."""
