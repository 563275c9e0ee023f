"""Reads and checks settings files."""

import re
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from cicadatray.internal.settings.agent_settings import AgentSettings
from cicadatray.internal.settings.comments import remove_comments
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.internal.settings.entry_settings import EntrySettings
from cicadatray.internal.settings.errors import SettingsError, describe_faults
from cicadatray.internal.settings.semantic import check_semantics
from cicadatray.internal.settings.structure import (
    CheckResult,
    check_structure,
    fault,
    merge_checks,
)

BYTE_OFFSET = re.compile(r"\(byte (\d+)\)")
# Far above any real file; guards against a wrong path to a large file.
SETTINGS_LIMIT_BYTES = 1024 * 1024

DaemonSettings = ControlSettings | EntrySettings | AgentSettings
ParseResult = Result[DaemonSettings, tuple[DocumentFault, ...]]

settings_types: dict[str, type[DaemonSettings]] = {
    "control": ControlSettings,
    "entry": EntrySettings,
    "agent": AgentSettings,
}


def load_settings(path: Path) -> DaemonSettings:
    """Reads and checks the settings of one process.

    Raises:
        SettingsError: the file cannot be read or is faulty; lists all faults.
    """
    result = parse_settings(_read(path))
    if isinstance(result, Success):
        settings: DaemonSettings = result.unwrap()
        return settings
    faults = result.failure()
    raise SettingsError(describe_faults(str(path), faults), faults)


def parse_settings(data: bytes) -> ParseResult:
    """Returns the settings, or all faults of the document."""
    try:
        document = remove_comments(msgspec.json.decode(data))
    except (msgspec.MsgspecError, RecursionError) as error:
        fault_text = describe_position(str(error), data)
        return Failure((DocumentFault("(document)", fault_text, "a JSON document"),))
    checked = check_document(document)
    if isinstance(checked, Failure):
        return Failure(tuple(sorted(set(checked.failure()))))
    return Success(msgspec.convert(document, DaemonSettings))


def describe_position(reason: str, data: bytes) -> str:
    """Returns the decoder's error text with line and column in place of the byte offset."""
    match = BYTE_OFFSET.search(reason)
    if match is None:
        return reason
    before = data[: int(match[1])]
    line = before.count(b"\n") + 1
    column = len(before) - (before.rfind(b"\n") + 1) + 1
    return BYTE_OFFSET.sub(f"(line {line}, column {column})", reason)


def check_document(document: Any) -> CheckResult:
    """Checks the structure and the semantics of a decoded settings document."""
    if not isinstance(document, dict):
        return fault("", document, "an object")
    role = document.get("role")
    if role not in settings_types:
        return fault("role", role, f"one of {', '.join(settings_types)}")
    type_info = msgspec.inspect.type_info(settings_types[role])
    return merge_checks([check_structure(document, type_info), check_semantics(document, role)])


def _read(path: Path) -> bytes:
    try:
        with path.open("rb") as file:
            data = file.read(SETTINGS_LIMIT_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if len(data) > SETTINGS_LIMIT_BYTES:
        raise SettingsError(f"{path}: larger than {SETTINGS_LIMIT_BYTES} bytes")
    return data


def read_secret(settings: DaemonSettings) -> bytes:
    """Reads the cluster secret and strips surrounding whitespace.

    Raises:
        SettingsError: the file cannot be read or is empty.
    """
    try:
        secret = Path(settings.secret_file).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"secret_file {settings.secret_file}: {error.strerror}") from error
    if not secret:
        raise SettingsError(f"secret_file {settings.secret_file}: empty; expected the secret")
    return secret
