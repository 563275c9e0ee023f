"""Resolves the entries and the credential that the tool uses."""

import os
import stat
import sys
from collections.abc import Mapping
from pathlib import Path

import msgspec

from cicadatray.internal.cli.entry_address import parse_entry_address
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.settings.comments import remove_comments

DEFAULT_CONFIGURATION_FILE = Path("~/.config/cicadatray.json")
CONFIGURATION_VARIABLE = "CICADATRAY_CONFIG"
ENTRIES_VARIABLE = "CICADATRAY_ENTRIES"
CREDENTIAL_VARIABLE = "CICADATRAY_CREDENTIAL_FILE"
MAX_CREDENTIAL_BYTES = 4096
# Shorter credentials can be guessed, and redacting them would garble unrelated output.
MIN_CREDENTIAL_CHARACTERS = 8


class ToolConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The tool's configuration file; options and environment variables override it."""

    entries: tuple[str, ...] = ()
    credential_file: str = ""


class Connection(msgspec.Struct, frozen=True):
    """Base URLs of the entries, in the order in which they are tried, and the credential."""

    addresses: tuple[str, ...]
    credential: str

    def __repr__(self) -> str:
        return f"Connection({self.addresses}, [redacted])"


def resolve_connection(
    entries: tuple[str, ...], credential_file: Path | None, environment: Mapping[str, str]
) -> Connection:
    """Resolves the connection from options, environment variables and the file, in this order.

    Raises:
        ToolError: no entry or credential is given, or a file is faulty.
    """
    configuration = read_configuration(environment)
    environment_entries = [
        text for text in environment.get(ENTRIES_VARIABLE, "").split(",") if text.strip()
    ]
    entry_texts = entries or tuple(environment_entries) or configuration.entries
    path = credential_file or environment.get(CREDENTIAL_VARIABLE) or configuration.credential_file
    if not entry_texts:
        raise ToolError(
            ExitCode.USAGE,
            f"no entry given: use --entry, {ENTRIES_VARIABLE} or a configuration file",
        )
    if not path:
        hint = f"use --credential-file, {CREDENTIAL_VARIABLE} or a configuration file"
        raise ToolError(ExitCode.USAGE, f"no credential given: {hint}")
    addresses = tuple(dict.fromkeys(parse_entry_address(text) for text in entry_texts))
    return Connection(addresses, read_credential(Path(path).expanduser()))


def read_configuration(environment: Mapping[str, str]) -> ToolConfiguration:
    """Reads the configuration file; returns an empty configuration if the default is missing.

    Raises:
        ToolError: the file is faulty, or the one named by CICADATRAY_CONFIG does not exist.
    """
    configured_path = environment.get(CONFIGURATION_VARIABLE)
    path = Path(configured_path or DEFAULT_CONFIGURATION_FILE).expanduser()
    try:
        document = remove_comments(msgspec.json.decode(path.read_bytes()))
        return msgspec.convert(document, ToolConfiguration)
    except FileNotFoundError:
        if configured_path is None:
            return ToolConfiguration()
        raise ToolError(ExitCode.USAGE, f"{path}: no such file") from None
    except (OSError, msgspec.MsgspecError) as error:
        raise ToolError(ExitCode.USAGE, f"{path}: {error}") from error


def read_credential(path: Path) -> str:
    """Reads the credential; prints a warning if other users can read the file.

    Raises:
        ToolError: the file cannot be read or does not contain a valid credential.
    """
    try:
        data = path.read_bytes()
        mode = path.stat().st_mode
    except OSError as error:
        raise ToolError(ExitCode.USAGE, f"credential file {path}: {error.strerror}") from error
    credential = data.decode("ascii", "replace").strip()
    is_plain_ascii = credential.isascii() and credential.isprintable() and " " not in credential
    is_too_short = len(credential) < MIN_CREDENTIAL_CHARACTERS
    if is_too_short or not is_plain_ascii or len(data) > MAX_CREDENTIAL_BYTES:
        expected = f"{MIN_CREDENTIAL_CHARACTERS} or more printable ASCII characters without spaces"
        raise ToolError(ExitCode.USAGE, f"credential file {path}: expected {expected}")
    if mode & (stat.S_IRGRP | stat.S_IROTH) and os.name == "posix":
        print(f"warning: other users can read {path}; use chmod 600", file=sys.stderr)
    return credential
