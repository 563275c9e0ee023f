"""Settings of an entry."""

from cicadatray.internal.settings.common import (
    Address,
    PositiveInteger,
    PositiveNumber,
    SettingsStruct,
)


class EntrySettings(SettingsStruct, frozen=True, kw_only=True, tag="entry"):
    """An entry serves HTTP to callers and operators and stores nothing on disk."""

    http: Address
    """Address at which callers connect; must differ from `listen`."""
    queue_limit: PositiveInteger = 256
    """Maximum number of waiting requests of all client accounts together."""
    default_deadline_s: PositiveNumber = 30.0
    """Deadline, in seconds, of a request that does not set one."""
