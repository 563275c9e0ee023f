"""Messages that change or read the configuration."""

from typing import ClassVar

import msgspec

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules


class AccountRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account; the credential itself is never stored."""

    client_account: str
    credential_sha256: str
    operator: bool = False


class Accounts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All client accounts of a deployment."""

    accounts: tuple[AccountRecord, ...]


class ChangeConfiguration(MessageStruct, frozen=True):
    """Replaces one document of the configuration; exactly one is given.

    `replaces_version` is the configuration version that the operator has seen.
    """

    operation_id: str
    operator: str
    replaces_version: int
    inventory: Inventory | None = None
    rules: Rules | None = None
    accounts: Accounts | None = None


class ConfigurationChanged(MessageStruct, frozen=True):
    """The change was accepted and is in effect as this version."""

    version: int


class VersionConflict(MessageStruct, frozen=True):
    """Another change has replaced the named version; nothing was changed."""

    version_in_effect: int
    operator: str


class ReadConfiguration(MessageStruct, frozen=True):
    """Asks for the configuration in effect."""

    changes_state: ClassVar[bool] = False


class ConfigurationReply(MessageStruct, frozen=True):
    """The whole configuration in effect."""

    version: int
    inventory: Inventory
    rules: Rules
    accounts: Accounts


class ChangeRecord(msgspec.Struct, frozen=True):
    """One accepted change."""

    version: int
    kind: str
    operator: str
    operation_id: str


class ReadHistory(MessageStruct, frozen=True):
    """Asks for the accepted changes that are still stored, oldest first."""

    changes_state: ClassVar[bool] = False


class HistoryReply(MessageStruct, frozen=True):
    """Reply to `ReadHistory`."""

    changes: tuple[ChangeRecord, ...]
