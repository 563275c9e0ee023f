"""Where the tool finds the entries and the credential."""

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

CONFIGURATION_PATH = Path("~/.config/cicadatray.json")
CONFIGURATION_VARIABLE = "CICADATRAY_CONFIG"
ENTRIES_VARIABLE = "CICADATRAY_ENTRIES"
CREDENTIAL_VARIABLE = "CICADATRAY_CREDENTIAL_FILE"
CREDENTIAL_LIMIT_BYTES = 4096
# Shorter ones can be guessed, and removing them from what is printed would garble it.
CREDENTIAL_LEAST_CHARACTERS = 8


class ToolConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The tool's configuration file; options and environment variables come before it."""

    entries: tuple[str, ...] = ()
    credential_file: str = ""


class Connection(msgspec.Struct, frozen=True):
    """Base URLs of the entries in the order of trial, and the credential."""

    addresses: tuple[str, ...]
    credential: str

    def __repr__(self) -> str:
        return f"Connection({self.addresses}, [redacted])"


def find_connection(
    entries: tuple[str, ...], credential_file: Path | None, environment: Mapping[str, str]
) -> Connection:
    """Resolves options, then environment variables, then the configuration file.

    Raises:
        ToolError: no entry or credential is given, or a file is faulty.
    """
    configuration = read_configuration(environment)
    listed = [text for text in environment.get(ENTRIES_VARIABLE, "").split(",") if text.strip()]
    chosen = entries or tuple(listed) or configuration.entries
    path = credential_file or environment.get(CREDENTIAL_VARIABLE) or configuration.credential_file
    if not chosen:
        raise ToolError(ExitCode.USAGE, f"no entry: use --entry, {ENTRIES_VARIABLE} or a file")
    if not path:
        hint = f"use --credential-file, {CREDENTIAL_VARIABLE} or a file"
        raise ToolError(ExitCode.USAGE, f"no credential: {hint}")
    addresses = tuple(dict.fromkeys(parse_entry_address(text) for text in chosen))
    return Connection(addresses, read_credential(Path(path).expanduser()))


def read_configuration(environment: Mapping[str, str]) -> ToolConfiguration:
    """Reads the configuration file; without one, everything is empty.

    Raises:
        ToolError: the file is faulty.
    """
    named = environment.get(CONFIGURATION_VARIABLE)
    path = Path(named or CONFIGURATION_PATH).expanduser()
    try:
        document = remove_comments(msgspec.json.decode(path.read_bytes()))
        return msgspec.convert(document, ToolConfiguration)
    except FileNotFoundError:
        if named is None:
            return ToolConfiguration()
        raise ToolError(ExitCode.USAGE, f"{path}: no such file") from None
    except (OSError, msgspec.MsgspecError) as error:
        raise ToolError(ExitCode.USAGE, f"{path}: {error}") from error


def read_credential(path: Path) -> str:
    """Reads the credential and warns when others can read the file.

    Raises:
        ToolError: the file cannot be read or holds no usable credential.
    """
    try:
        data = path.read_bytes()
        mode = path.stat().st_mode
    except OSError as error:
        raise ToolError(ExitCode.USAGE, f"credential file {path}: {error.strerror}") from error
    credential = data.decode("ascii", "replace").strip()
    usable = credential.isascii() and credential.isprintable() and " " not in credential
    too_short = len(credential) < CREDENTIAL_LEAST_CHARACTERS
    if too_short or not usable or len(data) > CREDENTIAL_LIMIT_BYTES:
        expected = f"{CREDENTIAL_LEAST_CHARACTERS} or more printable ASCII characters, no blanks"
        raise ToolError(ExitCode.USAGE, f"credential file {path}: expected {expected}")
    if mode & (stat.S_IRGRP | stat.S_IROTH) and os.name == "posix":
        print(f"warning: other users can read {path}; use chmod 600", file=sys.stderr)
    return credential
