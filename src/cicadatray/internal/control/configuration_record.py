"""The part of the replicated state that operators change."""

import msgspec

from cicadatray.internal.wire.messages.configuration_messages import Accounts, ChangeRecord
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules
from cicadatray.scheduling.shape import Scope, Shape

DEFAULT_POLICY = "first_fit"


class OperationOutcome(msgspec.Struct, frozen=True):
    """The version that an operation made; the digest tells a resend from a reuse of the ID."""

    version: int
    digest: bytes


class ConfigurationRecord(msgspec.Struct):
    """The configuration in effect; `version` only rises."""

    version: int = 0
    operator: str = ""
    inventory: Inventory = Inventory(())
    rules: Rules = Rules(DEFAULT_POLICY, Shape(1, Scope.WORKER))
    accounts: Accounts = Accounts(())
    operations: dict[str, OperationOutcome] = msgspec.field(default_factory=dict)
    history: list[ChangeRecord] = msgspec.field(default_factory=list)

    def operation_outcome(self, version: int, digest: bytes) -> OperationOutcome:
        """Returns the record of an accepted operation."""
        return OperationOutcome(version, digest)
