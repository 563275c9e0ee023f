"""Settings that every role has."""

import msgspec


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a TCP port."""

    host: str
    port: int


class ControlMember(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control instance as other processes know it."""

    name: str
    host: str
    port: int


class LoggingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`format` is `json` or `console`; `level` a standard level name in lower case."""

    level: str = "info"
    format: str = "json"


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="role"
):
    """`name` is unique in the deployment; `listen` is where other processes reach this one.

    `secret_file` holds the cluster secret. `dump_folder` receives the dump asked for by signal.
    """

    name: str
    data_centre: str
    listen: Address
    secret_file: str
    control: tuple[ControlMember, ...]
    logging: LoggingSettings = LoggingSettings()
    dump_folder: str = "."
    drain_timeout_s: float = 30.0
