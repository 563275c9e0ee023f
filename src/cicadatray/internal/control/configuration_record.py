"""The part of the replicated state that operators change."""

import msgspec

from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import (
    Accounts,
    ChangeRecord,
    ConfigurationChanged,
    VersionConflict,
)
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.shape import Scope, Shape

DEFAULT_POLICY = "first_fit"


class OperationOutcome(msgspec.Struct, frozen=True):
    """What an operation was answered; the digest tells a resend from a reuse of the ID.

    `version` is the one that it made, or for a refused one the version that was in effect, set by
    `conflicting_operator`.
    """

    version: int
    digest: bytes
    accepted: bool
    conflicting_operator: str = ""

    def reply(self) -> MessageStruct:
        """Returns the answer, the same for every repetition of the operation."""
        if self.accepted:
            return ConfigurationChanged(version=self.version)
        return VersionConflict(version_in_effect=self.version, operator=self.conflicting_operator)


class ConfigurationRecord(msgspec.Struct):
    """The configuration in effect; `version` only rises."""

    version: int = 0
    operator: str = ""
    inventory: Inventory = Inventory(())
    rules: Rules = Rules(DEFAULT_POLICY, Shape(1, Scope.WORKER))
    accounts: Accounts = Accounts(())
    operations: dict[str, OperationOutcome] = msgspec.field(default_factory=dict)
    history: list[ChangeRecord] = msgspec.field(default_factory=list)
