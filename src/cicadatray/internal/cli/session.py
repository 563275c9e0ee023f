"""Sessions of commands with a deployment."""

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
from cicadatray.internal.cli.tool_configuration import resolve_connection

IDENTIFIER_BYTES = 12
MAX_HEADER_CHARACTERS = 128
JSON_HEADERS = {"Content-Type": "application/json"}


class Session:
    """The client and the output of one invocation."""

    __slots__ = ("client", "output")

    def __init__(self, client: EntryClient, output: Output) -> None:
        self.client = client
        self.output = output

    async def call(self, request: EntryRequest) -> EntryResponse:
        """Sends a request and returns the response.

        Raises:
            ToolError: no entry responded, or the entry reports an error.
        """
        response = await self.client.call(request)
        raise_for_error(response, request.is_change)
        return response

    async def fetch_json(self, request: EntryRequest) -> dict[str, Any]:
        """Sends a request and returns the JSON object in the response.

        Raises:
            ToolError: as for `call`, or the response is not a JSON object.
        """
        response = await self.call(request)
        try:
            document = response.decode_json()
        except msgspec.MsgspecError as error:
            raise ToolError(ExitCode.FAILED, f"the response is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise ToolError(ExitCode.FAILED, "the response is not a JSON object")
        return document

    async def get_json(self, path: str) -> dict[str, Any]:
        """Returns the JSON object that a GET request for the path returns."""
        return await self.fetch_json(EntryRequest("GET", path))


@asynccontextmanager
async def open_session(options: EntryOptions) -> AsyncIterator[Session]:
    """Yields a session with the configured entries; closes its connections at the end."""
    connection = resolve_connection(options.entry, options.credential_file, os.environ)
    output = Output(options.json, connection.credential)
    transport = HttpTransport(connection.credential)
    client = EntryClient(connection.addresses, transport, options.retry_for, output.print_note)
    try:
        yield Session(client, output)
    except ToolError as error:
        # The text may quote the response of the entry.
        raise ToolError(error.exit_code, output.sanitise(error.detail), error.code) from error
    finally:
        await transport.close()


def check_header_value(option: str, value: str) -> str:
    """Returns the value of an option that is sent as an HTTP header, if it is valid.

    Raises:
        ToolError: the value might not be transmitted unchanged.
    """
    is_plain_ascii = value.isascii() and value.isprintable() and value == value.strip()
    if not value or not is_plain_ascii or len(value) > MAX_HEADER_CHARACTERS:
        expected = f"1 to {MAX_HEADER_CHARACTERS} printable ASCII characters"
        raise ToolError(ExitCode.USAGE, f"{option} {value!r}: expected {expected}")
    return value


def new_identifier(prefix: str) -> str:
    """Returns a random idempotency key or operation ID, unique to this invocation."""
    return f"{prefix}-{secrets.token_hex(IDENTIFIER_BYTES)}"
