"""Checks that involve several values of a settings document.

They run on the decoded document before conversion, so that they also report faults when other
values are faulty. They skip values whose structure is wrong.
"""

import ipaddress
from collections.abc import Callable
from typing import Any

from returns.result import Success

from cicadatray.internal.settings.structure import CheckResult, fault, merge_checks
from cicadatray.scheduling.taskgraphs.rules.scheduling_rules import RULE_NAMES

CONTROL_COUNTS = (1, 3, 5)
EVERY_ROLE = ("control", "entry", "agent")
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 60

SemanticCheck = Callable[[dict[str, Any]], CheckResult]

semantic_checks: dict[str, list[SemanticCheck]] = {role: [] for role in EVERY_ROLE}


def semantic_check(*roles: str) -> Callable[[SemanticCheck], SemanticCheck]:
    """Returns a decorator that registers a check for the documents of the given roles."""

    def register(check: SemanticCheck) -> SemanticCheck:
        for role in roles:
            semantic_checks[role].append(check)
        return check

    return register


def check_semantics(document: dict[str, Any], role: str) -> CheckResult:
    """Runs all semantic checks of the role."""
    return merge_checks(check(document) for check in semantic_checks[role])


def _members(document: dict[str, Any]) -> list[dict[str, Any]]:
    control = document.get("control")
    if not isinstance(control, list):
        return []
    return [member if isinstance(member, dict) else {} for member in control]


@semantic_check(*EVERY_ROLE)
def check_control_count(document: dict[str, Any]) -> CheckResult:
    """Rejects even numbers of instances: they tolerate no more losses than one instance less."""
    control = document.get("control")
    if not isinstance(control, list) or len(control) in CONTROL_COUNTS:
        return Success(None)
    return fault("control", f"{len(control)} instances", "1, 3 or 5 control instances")


@semantic_check(*EVERY_ROLE)
def check_control_names(document: dict[str, Any]) -> CheckResult:
    """Rejects equal names: two members with one name would count as one voter."""
    return _check_distinct(_members(document), ("name",), "a name that no other member has")


@semantic_check(*EVERY_ROLE)
def check_control_addresses(document: dict[str, Any]) -> CheckResult:
    """Rejects equal addresses: two members at one address would give one process two votes."""
    return _check_distinct(
        _members(document), ("host", "port"), "an address that no other member has"
    )


def _check_distinct(
    members: list[dict[str, Any]], keys: tuple[str, ...], expected: str
) -> CheckResult:
    seen: set[str] = set()
    checks: list[CheckResult] = []
    for index, member in enumerate(members):
        if any(key not in member for key in keys):
            continue
        value = ":".join(str(member[key]) for key in keys)
        if value in seen:
            checks.append(fault(f"control[{index}].{keys[0]}", value, expected))
        seen.add(value)
    return merge_checks(checks)


@semantic_check(*EVERY_ROLE)
def check_reachable_addresses(document: dict[str, Any]) -> CheckResult:
    """Rejects the unspecified address: other processes connect to `listen` as it is announced."""
    addresses = [("listen", document.get("listen"))]
    addresses += [(f"control[{index}]", item) for index, item in enumerate(_members(document))]
    expected = "the address of one instance, not the unspecified address"
    return merge_checks(
        fault(f"{path}.host", address["host"], expected)
        for path, address in addresses
        if isinstance(address, dict) and _is_unspecified(address.get("host"))
    )


def _is_unspecified(host: Any) -> bool:
    try:
        return isinstance(host, str) and ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False


@semantic_check(*EVERY_ROLE)
def check_known_ports(document: dict[str, Any]) -> CheckResult:
    """Rejects port 0, except for `listen` of entries and agents, which announce the actual port."""
    addresses = {key: document.get(key) for key in ("listen", "http", "endpoint", "worker")}
    if document.get("role") != "control":
        del addresses["listen"]
    for key in ("endpoint", "worker"):
        section = addresses[key]
        addresses[f"{key}.address"] = section.get("address") if isinstance(section, dict) else None
    return merge_checks(
        fault(f"{path}.port", 0, "a whole number from 1 to 65535")
        for path, address in addresses.items()
        if isinstance(address, dict) and address.get("port") == 0
    )


@semantic_check("agent")
def check_agent_has_work(document: dict[str, Any]) -> CheckResult:
    """Rejects an agent without endpoint and worker, which would announce itself and do nothing."""
    if document.get("endpoint") is not None or document.get("worker") is not None:
        return Success(None)
    return fault("endpoint", None, 'an "endpoint", a "worker" or both')


@semantic_check("agent")
def check_endpoint_connections(document: dict[str, Any]) -> CheckResult:
    """Rejects fewer connections than slots: each running request needs a connection."""
    endpoint = document.get("endpoint")
    if not isinstance(endpoint, dict):
        return Success(None)
    slots = endpoint.get("slots", DEFAULT_SLOTS)
    connections = endpoint.get("connections", DEFAULT_CONNECTIONS)
    if not isinstance(slots, int) or not isinstance(connections, int) or connections >= slots:
        return Success(None)
    return fault("endpoint.connections", connections, f'at least the {slots} of "slots"')


@semantic_check("entry")
def check_entry_addresses(document: dict[str, Any]) -> CheckResult:
    """Rejects equal addresses of the two listeners."""
    http = document.get("http")
    if not isinstance(http, dict) or http != document.get("listen"):
        return Success(None)
    return fault("http", http, 'an address that differs from "listen"')


@semantic_check("control")
def check_bootstrap_member(document: dict[str, Any]) -> CheckResult:
    """Rejects bootstrapping by an instance outside the group, which could never be elected."""
    names = [member.get("name") for member in _members(document)]
    if document.get("bootstrap") is not True or document.get("name") in names:
        return Success(None)
    return fault("name", document.get("name"), 'a name listed under "control" when bootstrapping')


@semantic_check("control")
def check_scheduling_rules(document: dict[str, Any]) -> CheckResult:
    """Rejects rules that are not registered: control could not plan a round."""
    rules = document.get("scheduling_rules")
    chosen = rules if isinstance(rules, dict) else {}
    return merge_checks(
        fault(f"scheduling_rules.{kind}", chosen[kind], f"one of {', '.join(names)}")
        for kind, names in RULE_NAMES.items()
        if isinstance(chosen.get(kind), str) and chosen[kind] not in names
    )
