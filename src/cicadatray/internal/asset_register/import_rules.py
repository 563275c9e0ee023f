"""Import of a rules document."""

from typing import Any, TypeGuard

from returns.result import Success

from cicadatray.internal.asset_register.json_document import import_document
from cicadatray.internal.settings.structure import CheckResult, fault, join_path, merge_checks
from cicadatray.scheduling.rules import Rules


def import_rules(data: bytes, source: str) -> Rules:
    """Returns the rules; control checks whether the guarantees fit the inventory.

    Raises:
        ImportRefusedError: the document is too large or faulty; lists all faults.
    """
    return import_document(data, source, Rules, _check_semantics)


def _check_semantics(document: dict[str, Any]) -> CheckResult:
    checks = [_check_shape(document.get("large_job"), "large_job")]
    guarantees = document.get("guarantees")
    for index, guarantee in enumerate(guarantees if isinstance(guarantees, list) else []):
        if isinstance(guarantee, dict):
            checks.append(_check_guarantee(guarantee, f"guarantees[{index}]"))
    shares = document.get("shares")
    for account, weight in shares.items() if isinstance(shares, dict) else ():
        if _is_number(weight) and weight <= 0:
            checks.append(fault(join_path("shares", account), weight, "a number above 0"))
    if document.get("policy") == "":
        checks.append(fault("policy", "", "the name of a policy"))
    return merge_checks(checks)


def _check_guarantee(guarantee: dict[str, Any], path: str) -> CheckResult:
    checks = [_check_shape(guarantee.get("shape"), f"{path}.shape")]
    count = guarantee.get("count", 1)
    if _is_number(count) and count < 1:
        checks.append(fault(f"{path}.count", count, "a whole number of at least 1"))
    if guarantee.get("client_account") == "":
        checks.append(fault(f"{path}.client_account", "", "the name of a client account"))
    return merge_checks(checks)


def _check_shape(shape: Any, path: str) -> CheckResult:
    accelerators = shape.get("accelerators") if isinstance(shape, dict) else None
    if not _is_number(accelerators) or accelerators >= 1:
        return Success(None)
    return fault(f"{path}.accelerators", accelerators, "a whole number of at least 1")


def _is_number(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool)
