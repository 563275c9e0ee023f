"""Documents that are no valid configuration."""

import copy
from collections.abc import Callable
from typing import Any

import msgspec

Change = Callable[[dict[str, Any]], None]


def _truncate(document: dict[str, Any]) -> bytes:
    body = msgspec.json.encode(document)
    return body[: len(body) * 2 // 3]


def _change(change: Change) -> Callable[[dict[str, Any]], bytes]:
    def build(document: dict[str, Any]) -> bytes:
        changed = copy.deepcopy(document)
        change(changed)
        return msgspec.json.encode(changed)

    return build


def _repeat_first_route(document: dict[str, Any]) -> None:
    document["Routes"].append({**document["Routes"][0], "Name": "again"})


def _share_key(document: dict[str, Any]) -> None:
    document["Tenants"][1]["ApiKeys"] = list(document["Tenants"][0]["ApiKeys"])


# What makes a configuration invalid by the pages of the users.
INVALID_DOCUMENTS: dict[str, Callable[[dict[str, Any]], bytes]] = {
    "truncated": _truncate,
    "unknown service": _change(lambda d: d["Routes"][0].update(Service="unknown")),
    "same host and prefix": _change(_repeat_first_route),
    "no time-out": _change(lambda d: d["Routes"][0].update(TimeoutMs=0)),
    "shared key": _change(_share_key),
    "no routes": _change(lambda d: d.pop("Routes")),
    "no services and no routes": _change(lambda d: (d.pop("Services"), d.update(Routes=[]))),
    "no limits": _change(lambda d: d.pop("Limits")),
    "no tenants": _change(lambda d: d.pop("Tenants")),
    "limits of another type": _change(lambda d: d.update(Limits=[1, 2])),
    "limit of another type": _change(lambda d: d["Limits"].update(MaxBodyBytes="much")),
    "kind of another type": _change(lambda d: d["Routes"][0].update(Kind=7)),
    "connections of another type": _change(lambda d: d["Services"][0].update(MaxConns="many")),
    "flag of another type": _change(lambda d: d["Services"][0].update(Tls="no")),
}
