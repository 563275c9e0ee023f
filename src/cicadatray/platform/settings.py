"""Settings of a process, read from the platform's settings file."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from cicadatray.platform.errors import DocumentError, PlatformSettingsError
from cicadatray.platform.fields import (
    MS_PER_S,
    parse_address,
    read_boolean,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)

# The fields with the numbers of instances, data centres and regions that may be lost at once. Only
# the largest number counts, because voters are placed in different data centres.
LOSS_FIELD_NAMES = ("Machines", "Zones", "Regions")
# The platform writes these fields into every settings file. A file that is read while it is being
# replaced may end after any line, and the beginning of a TOML document is often one itself.
REQUIRED_FIELDS = ("Seeds", "Listen", "FaultTolerance", "Bounds")
# The part of the platform's rules by which each configuration lists client accounts.
ACCOUNTS_CONTRACT = "tenants"


class HostPort(msgspec.Struct, frozen=True):
    """An IP address and a TCP port."""

    host: str
    port: int


class PlatformSettings(msgspec.Struct, frozen=True):
    """The settings of a process; times are in seconds.

    `seeds` are the addresses at which control instances serve operators. `longest_lease_s` is the
    longest time that workers continue without a lease renewal, `longest_stop_s` the longest time
    that they take to stop a run. `shutdown_grace_s` is the time between SIGTERM and SIGKILL.
    `tolerated_losses` is the number of instances with a disk, or of whole data centres, that may be
    lost at once. `evacuation_start_limit_s` is the longest time from the confirmation of an
    evacuation to the last start in that data centre, 0 without a limit. `data_centres` names all
    data centres, and is empty if the settings do not list them.
    """

    name: str
    role: str
    ip: str
    data_centre: str
    internal_ports: range
    seeds: tuple[HostPort, ...]
    is_bootstrap: bool
    data_folder: str
    client_address: HostPort | None
    readiness_address: HostPort | None
    control_address: HostPort | None
    longest_lease_s: float
    longest_stop_s: float
    urgent_start_s: float
    shutdown_grace_s: float
    tolerated_losses: int
    body_limit_bytes: int = 262144
    evacuation_start_limit_s: float = 0.0
    data_centres: frozenset[str] = frozenset()
    has_accounts: bool = False


def load_platform_settings(path: Path) -> PlatformSettings:
    """Loads the settings file.

    Raises:
        PlatformSettingsError: the file cannot be read or lacks a required field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return _decode(document)
    except (OSError, ValueError, DocumentError) as error:
        raise PlatformSettingsError(f"{path}: {error}") from error


def _decode(document: dict[str, Any]) -> PlatformSettings:
    missing = [name for name in REQUIRED_FIELDS if name not in document]
    if missing:
        raise DocumentError(f"fields missing: {', '.join(missing)}")
    listen = read_object(document, "Listen")
    bounds = read_object(document, "Bounds")
    tolerance = read_object(document, "FaultTolerance")
    ports = read_list(document, "InternalPorts", int)
    if len(ports) != 2:
        raise DocumentError("field InternalPorts must be a list of two ports")
    return PlatformSettings(
        name=read_string(document, "NodeName"),
        role=read_string(document, "Role"),
        ip=read_string(document, "Ip"),
        data_centre=read_string(document, "Zone"),
        internal_ports=range(ports[0], ports[1] + 1),
        seeds=tuple(HostPort(*parse_address(seed)) for seed in read_list(document, "Seeds", str)),
        is_bootstrap=read_boolean(document, "Bootstrap"),
        data_folder=read_string(document, "DataDir", ""),
        client_address=_listen_address(listen, "Front"),
        readiness_address=_listen_address(listen, "Ready"),
        # Where control serves operators, or where an agent receives its worker's announcements.
        control_address=_listen_address(listen, "Control"),
        # On the platform, "hold" means to extend the lease of a worker's runs.
        longest_lease_s=read_number(bounds, "MaxHoldMs", 6000) / MS_PER_S,
        longest_stop_s=read_number(bounds, "StopMs", 400) / MS_PER_S,
        # The time within which urgent jobs must start.
        urgent_start_s=read_number(bounds, "ReclaimMs", 2700) / MS_PER_S,
        shutdown_grace_s=read_integer(bounds, "GraceS", 6),
        tolerated_losses=max(read_integer(tolerance, name, 0) for name in LOSS_FIELD_NAMES),
        evacuation_start_limit_s=read_number(bounds, "EvacuateMs", 0) / MS_PER_S,
        # A table of the region of each data centre.
        data_centres=frozenset(read_object(document, "Zones")),
        has_accounts=ACCOUNTS_CONTRACT in read_list(document, "Contracts", str),
    )


def _listen_address(listen: dict[str, Any], name: str) -> HostPort | None:
    text = read_string(listen, name, "")
    return HostPort(*parse_address(text)) if text else None
