"""Settings of an entry."""

from cicadatray.internal.settings.common import Address, SettingsStruct


class EntrySettings(SettingsStruct, frozen=True, kw_only=True, tag="entry"):
    """`http` is the callers' address; `queue_limit` bounds waiting requests of all accounts."""

    http: Address
    queue_limit: int = 256
    default_deadline_s: float = 30.0
