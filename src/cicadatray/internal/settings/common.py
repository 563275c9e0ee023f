"""Settings that all roles share."""

from typing import Annotated, Literal

import msgspec

from cicadatray.internal.settings.value_formats import formatted

PORT_LIMIT = 65535

Port = Annotated[int, msgspec.Meta(ge=1, le=PORT_LIMIT)]
PortOrZero = Annotated[int, msgspec.Meta(ge=0, le=PORT_LIMIT)]
IpAddress = Annotated[str, formatted("ip_address")]
Name = Annotated[str, formatted("name")]
PathText = Annotated[str, formatted("path")]
OptionalSha256 = Annotated[str, formatted("optional_sha256")]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a TCP port."""

    host: IpAddress
    """IP address; host names are not resolved."""
    port: PortOrZero
    """TCP port; 0 lets the operating system choose, only for `listen` of an entry or an agent."""


class ControlMember(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The name and the address of a control instance."""

    name: Name
    """The `name` in that instance's own settings."""
    host: IpAddress
    """IP address; host names are not resolved."""
    port: Port
    """TCP port of its `listen` address."""


class LoggingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging of a process to its standard error."""

    level: Literal["debug", "info", "warning", "error", "critical"] = "info"
    """Lowest level that is logged."""
    format: Literal["json", "console"] = "json"
    """`json` writes one object per line; `console` is meant for reading in a terminal."""


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="role"
):
    """The settings that all roles share."""

    name: Name
    """Unique in the deployment; appears in logs, dumps and the directory."""
    data_centre: Name
    """The data centre (site) that the process runs in, as named in the inventory."""
    listen: Address
    """Address at which other processes of the deployment reach this one."""
    secret_file: PathText
    """File with the cluster secret, the same in all processes; whitespace around it is ignored."""
    control: tuple[ControlMember, ...]
    """All control instances: one, three or five."""
    logging: LoggingSettings = LoggingSettings()
    """Logging settings of the process."""
    dump_folder: PathText = "."
    """Folder to which a state dump is written on SIGUSR1."""
    drain_timeout_s: PositiveNumber = 30.0
    """Maximum time, in seconds, to wait for work in progress after the first SIGTERM or SIGINT."""
