"""Checks an inventory and rules before they are put into effect."""

import math
from collections.abc import Iterator

from cicadatray.scheduling.configuration_fault import ConfigurationFault
from cicadatray.scheduling.errors import UnknownPolicyError
from cicadatray.scheduling.fleet import Fleet
from cicadatray.scheduling.guarantee_clash import find_clash
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.policies import find_policy
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.shape import Shape


def check_configuration(
    inventory: Inventory, rules: Rules, client_accounts: frozenset[str] | None = None
) -> list[ConfigurationFault]:
    """Returns all faults; an empty list means that the configuration can be put into effect.

    Args:
        inventory: the workers.
        rules: guarantees and shares over these workers.
        client_accounts: the existing accounts; None skips the check of references to accounts.
    """
    faults = [*_inventory_faults(inventory), *_rules_faults(rules)]
    if client_accounts is not None:
        faults.extend(_account_faults(rules, client_accounts))
    if not faults:
        fleet = Fleet(inventory)
        faults.extend(_shape_faults(fleet, rules))
        faults.extend([] if faults else _clash_faults(fleet, rules))
    return faults


def _inventory_faults(inventory: Inventory) -> Iterator[ConfigurationFault]:
    first_index: dict[str, int] = {}
    for index, worker in enumerate(inventory.workers):
        path = f"inventory.workers[{index}]"
        first_use = first_index.setdefault(worker.worker_id, index)
        if first_use != index:
            expected = f"a worker_id that inventory.workers[{first_use}] does not have"
            yield ConfigurationFault(f"{path}.worker_id", worker.worker_id, expected)
        for field in ("worker_id", "data_centre", "rack"):
            if not getattr(worker, field):
                yield ConfigurationFault(f"{path}.{field}", "", "a name that is not empty")
        if worker.accelerators < 0:
            value = str(worker.accelerators)
            yield ConfigurationFault(f"{path}.accelerators", value, "0 or more")


def _rules_faults(rules: Rules) -> Iterator[ConfigurationFault]:
    try:
        find_policy(rules.policy)
    except UnknownPolicyError as error:
        yield ConfigurationFault("rules.policy", rules.policy, str(error))
    if rules.large_job.accelerators < 1:
        value = str(rules.large_job.accelerators)
        yield ConfigurationFault("rules.large_job.accelerators", value, "1 or more")
    for index, guarantee in enumerate(rules.guarantees):
        path = f"rules.guarantees[{index}]"
        if guarantee.shape.accelerators < 1:
            value = str(guarantee.shape.accelerators)
            yield ConfigurationFault(f"{path}.shape.accelerators", value, "1 or more")
        if guarantee.count < 1:
            yield ConfigurationFault(f"{path}.count", str(guarantee.count), "1 or more")
    for account, weight in rules.shares.items():
        if not math.isfinite(weight) or weight <= 0:
            expected = "a finite weight above 0"
            yield ConfigurationFault(f"rules.shares[{account}]", str(weight), expected)


def _account_faults(rules: Rules, accounts: frozenset[str]) -> Iterator[ConfigurationFault]:
    for index, guarantee in enumerate(rules.guarantees):
        account = guarantee.client_account
        if account not in accounts:
            path = f"rules.guarantees[{index}].client_account"
            yield ConfigurationFault(path, account, "a known client account")
    for account in rules.shares:
        if account not in accounts:
            path = f"rules.shares[{account}]"
            yield ConfigurationFault(path, account, "a known client account")


def _shape_faults(fleet: Fleet, rules: Rules) -> Iterator[ConfigurationFault]:
    shapes: list[tuple[str, Shape]] = [("rules.large_job", rules.large_job)]
    for index, guarantee in enumerate(rules.guarantees):
        shapes.append((f"rules.guarantees[{index}].shape", guarantee.shape))
    for path, shape in shapes:
        largest = fleet.largest_shape(shape.scope)
        if shape.accelerators > largest.accelerators:
            scope = shape.scope.value.replace("_", " ")
            expected = f"at most {largest.accelerators}, the largest {scope} of the inventory"
            yield ConfigurationFault(path, f"{shape.accelerators} in one {scope}", expected)


def _clash_faults(fleet: Fleet, rules: Rules) -> Iterator[ConfigurationFault]:
    clash = find_clash(fleet, rules.guarantees)
    names = ", ".join(f"rules.guarantees[{index}]" for index in clash)
    for index in clash:
        guarantee = rules.guarantees[index]
        shape = guarantee.shape
        value = (
            f"{guarantee.client_account}: {guarantee.count} x {shape.accelerators} "
            f"in one {shape.scope.value}"
        )
        expected = f"guarantees that can be placed together; these clash: {names}"
        yield ConfigurationFault(f"rules.guarantees[{index}]", value, expected)
