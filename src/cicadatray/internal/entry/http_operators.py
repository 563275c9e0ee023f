"""HTTP routes for operators: configuration and directory."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from cicadatray.internal.entry.authentication import authenticate_operator
from cicadatray.internal.entry.entry_context import EntryContext
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.entry.http_body import read_document
from cicadatray.internal.entry.http_responses import json_response
from cicadatray.internal.wire.messages.configuration_messages import (
    Accounts,
    ChangeConfiguration,
    ChangeRecord,
    ConfigurationChanged,
    ConfigurationReply,
    HistoryReply,
    ReadConfiguration,
    ReadHistory,
    VersionConflict,
)
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.rules import Rules


class ConfigurationPut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a configuration change."""

    document: msgspec.Raw
    replaces_version: int
    operation_id: str


class VersionDocument(msgspec.Struct, frozen=True):
    """The response to an accepted change."""

    version: int


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """The configuration in effect; credentials are shown as digests only."""

    version: int
    inventory: Inventory
    rules: Rules
    accounts: Accounts


class HistoryDocument(msgspec.Struct, frozen=True):
    """The retained accepted changes, oldest first."""

    changes: tuple[ChangeRecord, ...]


class DirectoryDocument(msgspec.Struct, frozen=True):
    """The configuration version that this entry uses and the agents in its directory."""

    configuration_version: int
    agents: tuple[AgentRecord, ...]


async def show_configuration(request: Request) -> Response:
    """Returns the configuration in effect."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    reply = await context.call_control(ReadConfiguration())
    assert isinstance(reply, ConfigurationReply)
    return json_response(
        ConfigurationDocument(reply.version, reply.inventory, reply.rules, reply.accounts)
    )


async def show_history(request: Request) -> Response:
    """Returns the retained accepted changes."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    reply = await context.call_control(ReadHistory())
    assert isinstance(reply, HistoryReply)
    return json_response(HistoryDocument(reply.changes))


async def change_configuration(request: Request) -> Response:
    """Replaces one document of the configuration."""
    context: EntryContext = request.app.state.context
    account = authenticate_operator(request, context.directory)
    put = await read_document(request, ConfigurationPut)
    call = _build_change(request.path_params["kind"], put, account.client_account)
    reply = await context.call_control(call)
    if isinstance(reply, VersionConflict):
        detail = f"version {reply.version_in_effect} by {reply.operator or 'nobody'} is in effect"
        raise EntryError(409, "version_conflict", detail)
    assert isinstance(reply, ConfigurationChanged)
    return json_response(VersionDocument(reply.version))


async def show_directory(request: Request) -> Response:
    """Returns the agents in this entry's directory and the configuration version it uses."""
    context: EntryContext = request.app.state.context
    authenticate_operator(request, context.directory)
    configuration = context.directory.configuration
    version = configuration.version if configuration else 0
    records = tuple(peer.record for peer in context.directory.peers.values())
    return json_response(DirectoryDocument(version, records))


def _build_change(kind: str, put: ConfigurationPut, operator: str) -> ChangeConfiguration:
    change = ChangeConfiguration(
        operation_id=put.operation_id,
        operator=operator,
        replaces_version=put.replaces_version,
    )
    try:
        if kind == "inventory":
            inventory = msgspec.json.decode(put.document, type=Inventory)
            return msgspec.structs.replace(change, inventory=inventory)
        if kind == "rules":
            rules = msgspec.json.decode(put.document, type=Rules)
            return msgspec.structs.replace(change, rules=rules)
        if kind == "accounts":
            accounts = msgspec.json.decode(put.document, type=Accounts)
            return msgspec.structs.replace(change, accounts=accounts)
    except msgspec.MsgspecError as error:
        raise EntryError(422, "invalid_configuration", f"{kind}: {error}") from error
    raise EntryError(404, "kind_unknown", "the kind must be inventory, rules or accounts")
