"""Applies changes of the configuration and records their outcomes."""

import hashlib

import msgspec

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.configuration_record import OperationOutcome
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import (
    ChangeConfiguration,
    ChangeRecord,
)

# Three days at the design load of 9,000 changes a day, so that a late resend is recognised.
OPERATION_LIMIT = 27_000
HISTORY_LIMIT = 1_000
OPERATION_REUSED_CODE = "operation_id_reused"


def operation_digest(command: ChangeConfiguration) -> bytes:
    """Returns a digest of the content of a change, independent of its operator and operation ID."""
    documents = (command.inventory, command.rules, command.accounts)
    encoded = msgspec.msgpack.encode((command.replaces_version, documents))
    return hashlib.sha256(encoded).digest()[:16]


@register_applier(ChangeConfiguration)
def change_configuration(
    state: ControlState, index: int, command: ChangeConfiguration
) -> MessageStruct:
    """Replaces one document if the change names the version in effect."""
    configuration = state.configuration
    operation_key = f"{command.operator}/{command.operation_id}"
    recorded = configuration.operations.get(operation_key)
    digest = operation_digest(command)
    if recorded is not None:
        if recorded.digest != digest:
            detail = "this operation ID was used for another change"
            return Failure(code=OPERATION_REUSED_CODE, detail=detail)
        return recorded.reply()
    if command.replaces_version == configuration.version:
        outcome = _accept(state, command, digest)
    else:
        # A refusal is recorded too: the version that it names may come into effect before a resend.
        outcome = OperationOutcome(
            configuration.version,
            digest,
            accepted=False,
            conflicting_operator=configuration.operator,
        )
    configuration.operations[operation_key] = outcome
    while len(configuration.operations) > OPERATION_LIMIT:
        del configuration.operations[next(iter(configuration.operations))]
    return outcome.reply()


def _accept(state: ControlState, command: ChangeConfiguration, digest: bytes) -> OperationOutcome:
    configuration = state.configuration
    configuration.version += 1
    configuration.operator = command.operator
    kind = _replace_document(state, command)
    record = ChangeRecord(configuration.version, kind, command.operator, command.operation_id)
    configuration.history.append(record)
    del configuration.history[:-HISTORY_LIMIT]
    return OperationOutcome(configuration.version, digest, accepted=True)


def _replace_document(state: ControlState, command: ChangeConfiguration) -> str:
    configuration = state.configuration
    if command.inventory is not None:
        configuration.inventory = command.inventory
        return "inventory"
    if command.rules is not None:
        configuration.rules = command.rules
        return "rules"
    if command.accounts is not None:
        configuration.accounts = command.accounts
    return "accounts"
