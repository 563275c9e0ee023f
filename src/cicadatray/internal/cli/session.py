"""What a command needs to talk to the deployment."""

import os
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from cicadatray.internal.cli.entry_client import EntryClient
from cicadatray.internal.cli.entry_options import EntryOptions
from cicadatray.internal.cli.entry_request import EntryRequest
from cicadatray.internal.cli.entry_response import EntryResponse
from cicadatray.internal.cli.error_mapping import raise_for_error
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.http_transport import HttpTransport
from cicadatray.internal.cli.output import Output
from cicadatray.internal.cli.tool_configuration import find_connection

IDENTIFIER_BYTES = 12
HEADER_LIMIT_CHARACTERS = 128
JSON_HEADERS = {"Content-Type": "application/json"}


class Session:
    """A client and an output for one invocation."""

    __slots__ = ("client", "output")

    def __init__(self, client: EntryClient, output: Output) -> None:
        self.client = client
        self.output = output

    async def call(self, request: EntryRequest) -> EntryResponse:
        """Returns the answer.

        Raises:
            ToolError: no entry answered, or the answer is an error.
        """
        response = await self.client.call(request)
        raise_for_error(response, request.changes)
        return response

    async def fetch(self, request: EntryRequest) -> dict[str, Any]:
        """Returns the JSON object of the answer.

        Raises:
            ToolError: as of `call`, or the answer is not a JSON object.
        """
        response = await self.call(request)
        try:
            document = response.document()
        except msgspec.MsgspecError as error:
            raise ToolError(ExitCode.FAILED, f"the answer is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise ToolError(ExitCode.FAILED, "the answer is not a JSON object")
        return document

    async def read(self, path: str) -> dict[str, Any]:
        """Returns the JSON object at a path."""
        return await self.fetch(EntryRequest("GET", path))


@asynccontextmanager
async def open_session(options: EntryOptions) -> AsyncIterator[Session]:
    """Finds entries and credential and closes the connections at the end."""
    connection = find_connection(options.entry, options.credential_file, os.environ)
    output = Output(options.json, connection.credential)
    transport = HttpTransport(connection.credential)
    client = EntryClient(connection.addresses, transport, options.retry_for, output.note)
    try:
        yield Session(client, output)
    except ToolError as error:
        # The text may quote what the entry has answered.
        raise ToolError(error.exit_code, output.clean(error.detail), error.code) from error
    finally:
        await transport.close()


def check_header_value(option: str, value: str) -> str:
    """Returns the value of an option that is sent as an HTTP header.

    Raises:
        ToolError: the value would not arrive unchanged.
    """
    plain = value.isascii() and value.isprintable() and value == value.strip()
    if not value or not plain or len(value) > HEADER_LIMIT_CHARACTERS:
        expected = f"1 to {HEADER_LIMIT_CHARACTERS} printable ASCII characters"
        raise ToolError(ExitCode.USAGE, f"{option} {value!r}: expected {expected}")
    return value


def new_identifier(prefix: str) -> str:
    """Returns an idempotency key or operation ID that no other invocation has."""
    return f"{prefix}-{secrets.token_hex(IDENTIFIER_BYTES)}"
