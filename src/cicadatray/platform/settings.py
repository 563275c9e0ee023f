"""The platform's settings file."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from cicadatray.platform.errors import DocumentError, PlatformSettingsError
from cicadatray.platform.fields import (
    MS_PER_S,
    parse_address,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)

# How many of each kind of place may be lost at once; voters stand in different data centres.
LOSS_FIELDS = ("Machines", "Zones", "Regions")


class HostPort(msgspec.Struct, frozen=True):
    """An IP number and a TCP port."""

    host: str
    port: int


class PlatformSettings(msgspec.Struct, frozen=True):
    """What a process reads from the file; times in seconds.

    `seeds` are the operators' addresses of control instances. `longest_lease_s` is the longest
    that workers run without an extension. `grace_s` passes between SIGTERM and SIGKILL.
    `borne_losses` is how many machines with a disk, or whole data centres, may be lost at once.
    """

    name: str
    role: str
    ip: str
    data_centre: str
    inner_ports: range
    seeds: tuple[HostPort, ...]
    is_first_start: bool
    data_folder: str
    client_address: HostPort | None
    readiness_address: HostPort | None
    control_address: HostPort | None
    longest_lease_s: float
    longest_stop_s: float
    urgent_start_s: float
    grace_s: float
    borne_losses: int
    body_limit_bytes: int = 262144


def load_platform_settings(path: Path) -> PlatformSettings:
    """Reads the settings file.

    Raises:
        PlatformSettingsError: it cannot be read or lacks a needed field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return _decode(document)
    except (OSError, ValueError, DocumentError) as error:
        raise PlatformSettingsError(f"{path}: {error}") from error


def _decode(document: dict[str, Any]) -> PlatformSettings:
    listen = read_object(document, "Listen")
    bounds = read_object(document, "Bounds")
    tolerance = read_object(document, "FaultTolerance")
    ports = read_list(document, "InternalPorts", int)
    if len(ports) != 2:
        raise DocumentError("field InternalPorts: two ports are needed")
    return PlatformSettings(
        name=read_text(document, "NodeName"),
        role=read_text(document, "Role"),
        ip=read_text(document, "Ip"),
        data_centre=read_text(document, "Zone"),
        inner_ports=range(ports[0], ports[1] + 1),
        seeds=tuple(HostPort(*parse_address(seed)) for seed in read_list(document, "Seeds", str)),
        is_first_start=read_flag(document, "Bootstrap"),
        data_folder=read_text(document, "DataDir", ""),
        client_address=_listen_address(listen, "Front"),
        readiness_address=_listen_address(listen, "Ready"),
        control_address=_listen_address(listen, "Control"),
        longest_lease_s=read_number(bounds, "MaxHoldMs", 6000) / MS_PER_S,
        longest_stop_s=read_number(bounds, "StopMs", 400) / MS_PER_S,
        urgent_start_s=read_number(bounds, "ReclaimMs", 2700) / MS_PER_S,
        grace_s=read_integer(bounds, "GraceS", 6),
        borne_losses=max(read_integer(tolerance, name, 0) for name in LOSS_FIELDS),
    )


def _listen_address(listen: dict[str, Any], name: str) -> HostPort | None:
    text = read_text(listen, name, "")
    return HostPort(*parse_address(text)) if text else None
