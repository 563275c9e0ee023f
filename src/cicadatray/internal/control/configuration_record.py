"""The configuration that operators change, as part of the replicated state."""

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
    """Records the outcome of an operation, so that a resend gets the same reply.

    `digest` distinguishes a resend from another change under the same ID. `version` is the version
    that an accepted operation created. For a refused one it is the version then in effect, which
    `conflicting_operator` had set.
    """

    version: int
    digest: bytes
    accepted: bool
    conflicting_operator: str = ""

    def reply(self) -> MessageStruct:
        """Returns the reply, which is the same for every resend of the operation."""
        if self.accepted:
            return ConfigurationChanged(version=self.version)
        return VersionConflict(version_in_effect=self.version, operator=self.conflicting_operator)


class ConfigurationRecord(msgspec.Struct):
    """The configuration in effect; `version` increases with every accepted change."""

    version: int = 0
    operator: str = ""
    inventory: Inventory = Inventory(())
    rules: Rules = Rules(DEFAULT_POLICY, Shape(1, Scope.WORKER))
    accounts: Accounts = Accounts(())
    operations: dict[str, OperationOutcome] = msgspec.field(default_factory=dict)
    history: list[ChangeRecord] = msgspec.field(default_factory=list)
