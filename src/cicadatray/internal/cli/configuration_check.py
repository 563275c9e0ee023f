"""Checks a whole configuration against the one in effect, without a deployment."""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.asset_register.import_accounts import import_accounts
from cicadatray.internal.asset_register.import_inventory import import_inventory
from cicadatray.internal.asset_register.import_rules import import_rules
from cicadatray.internal.cli.configuration_commands import diff_documents
from cicadatray.internal.cli.configuration_documents import KINDS, extract_document
from cicadatray.internal.wire.messages.configuration_messages import Accounts
from cicadatray.scheduling.check_configuration import check_configuration
from cicadatray.scheduling.configuration_fault import ConfigurationFault
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules

KNOWN_MEMBERS = {*KINDS, "version"}
# The importers find the format of a document by the ending of its name.
SOURCES = {kind: f"{kind}.json" for kind in KINDS}
IMPORTERS: dict[str, Callable[[bytes, str], msgspec.Struct]] = {
    "inventory": import_inventory,
    "rules": import_rules,
    "accounts": import_accounts,
}


class CheckReport(msgspec.Struct, frozen=True):
    """The result of a check: control refuses `faults`, and accepts what `warnings` names.

    `differences` holds a diff for each document that is given and differs.
    """

    faults: tuple[ConfigurationFault, ...]
    warnings: tuple[ConfigurationFault, ...]
    differences: dict[str, list[str]]


def check_candidate(candidate: dict[str, Any], in_effect: dict[str, Any]) -> CheckReport:
    """Checks a configuration whose missing documents are those of `in_effect`."""
    faults = list(_member_faults(candidate))
    differences: dict[str, list[str]] = {}
    checked: dict[str, Any] = {}
    for kind in KINDS:
        document = extract_document(candidate, kind)
        current = extract_document(in_effect, kind)
        if document is None:
            checked[kind] = current
            continue
        imported = _import(kind, document)
        if isinstance(imported, tuple):
            faults.extend(imported)
            continue
        checked[kind] = msgspec.to_builtins(imported)
        lines = diff_documents(_with_defaults(kind, current), checked[kind])
        if lines:
            differences[kind] = lines
    if faults or checked["inventory"] is None or checked["rules"] is None:
        return CheckReport(tuple(faults), (), differences)
    inventory = msgspec.convert(checked["inventory"], Inventory)
    rules = msgspec.convert(checked["rules"], Rules)
    if inventory.workers:
        faults.extend(check_configuration(inventory, rules))
    warnings = [
        *_unmatched_accounts(inventory, rules, checked["accounts"]),
        *_unused_workers(inventory),
        *_contradictions(inventory, rules),
    ]
    return CheckReport(tuple(faults), tuple(warnings), differences)


def _member_faults(candidate: dict[str, Any]) -> Iterator[ConfigurationFault]:
    expected = "only inventory, rules, accounts and version, at least one of the first three"
    for name in candidate.keys() - KNOWN_MEMBERS:
        yield ConfigurationFault(name, "", expected)
    if all(extract_document(candidate, kind) is None for kind in KINDS):
        yield ConfigurationFault("", "no document", expected)


def _import(kind: str, document: Any) -> msgspec.Struct | tuple[ConfigurationFault, ...]:
    try:
        return IMPORTERS[kind](msgspec.json.encode(document), SOURCES[kind])
    except ImportRefusedError as error:
        faults = tuple(
            ConfigurationFault(f"{kind}.{fault.path}", str(fault.value), fault.expected)
            for fault in error.faults
        )
        return faults or (ConfigurationFault(kind, "", str(error)),)


def _with_defaults(kind: str, document: Any) -> Any:
    """Returns the document with all its members, so that a default is no difference."""
    imported = _import(kind, document)
    return document if isinstance(imported, tuple) else msgspec.to_builtins(imported)


def _unmatched_accounts(
    inventory: Inventory, rules: Rules, accounts: Any
) -> Iterator[ConfigurationFault]:
    """Yields guarantees and shares of accounts that do not exist, which control accepts."""
    if accounts is None:
        return
    names = frozenset(a.client_account for a in msgspec.convert(accounts, Accounts).accounts)
    refused = check_configuration(inventory, rules)
    for fault in check_configuration(inventory, rules, names):
        if fault not in refused:
            yield fault


def _unused_workers(inventory: Inventory) -> Iterator[ConfigurationFault]:
    for index, worker in enumerate(inventory.workers):
        if worker.accelerators == 0:
            path = f"inventory.workers[{index}].accelerators"
            yield ConfigurationFault(path, "0", "1 or more; no job can use this worker")


def _contradictions(inventory: Inventory, rules: Rules) -> Iterator[ConfigurationFault]:
    first_index: dict[Any, int] = {}
    for index, guarantee in enumerate(rules.guarantees):
        first = first_index.setdefault((guarantee.client_account, guarantee.shape), index)
        if first != index:
            expected = f"one entry; it adds to that of rules.guarantees[{first}]"
            yield ConfigurationFault(
                f"rules.guarantees[{index}]", guarantee.client_account, expected
            )
    installed = sum(worker.accelerators for worker in inventory.workers)
    guaranteed = sum(g.count * g.shape.accelerators for g in rules.guarantees)
    if rules.shares and 0 < installed <= guaranteed:
        value = f"{guaranteed} of {installed} accelerators are guaranteed"
        expected = "capacity beyond the guarantees; shares divide only what is lent"
        yield ConfigurationFault("rules.shares", value, expected)
