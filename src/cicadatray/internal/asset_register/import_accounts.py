"""Import of an accounts document."""

from typing import Annotated, Any

import msgspec
from returns.result import Success

from cicadatray.internal.asset_register.json_document import import_document
from cicadatray.internal.settings.common import Name
from cicadatray.internal.settings.structure import CheckResult, fault, merge_checks
from cicadatray.internal.settings.value_formats import formatted


class AccountFields(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account, the digest of its credential and whether it is an operator."""

    client_account: Name
    credential_sha256: Annotated[str, formatted("sha256")]
    operator: bool = False


class AccountsFields(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All client accounts of a deployment."""

    accounts: tuple[AccountFields, ...]


def import_accounts(data: bytes, source: str) -> AccountsFields:
    """Returns the accounts.

    Raises:
        ImportRefusedError: the document is too large or faulty; lists all faults.
    """
    return import_document(data, source, AccountsFields, _check_semantics)


def _check_semantics(document: dict[str, Any]) -> CheckResult:
    value = document.get("accounts")
    items = value if isinstance(value, list) else []
    accounts = [item if isinstance(item, dict) else {} for item in items]
    return merge_checks(
        [
            _check_distinct(accounts, "client_account", "a name that no other account has"),
            _check_distinct(
                accounts, "credential_sha256", "a credential that no other account has"
            ),
            _check_operator(accounts),
        ]
    )


def _check_distinct(accounts: list[dict[str, Any]], key: str, expected: str) -> CheckResult:
    seen: set[Any] = set()
    checks: list[CheckResult] = []
    for index, account in enumerate(accounts):
        value = account.get(key)
        if isinstance(value, str) and value in seen:
            checks.append(fault(f"accounts[{index}].{key}", value, expected))
        if isinstance(value, str):
            seen.add(value)
    return merge_checks(checks)


def _check_operator(accounts: list[dict[str, Any]]) -> CheckResult:
    """Rejects accounts without an operator: nobody could change the configuration afterwards."""
    if any(account.get("operator") is True for account in accounts):
        return Success(None)
    return fault("accounts", f"{len(accounts)} accounts", 'at least one with "operator": true')
