"""Fixtures for the tests of the command line tool."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from cover.cli.scripted_entry import CREDENTIAL, ScriptedEntry


@pytest.fixture
def entry() -> Iterator[ScriptedEntry]:
    """Returns a running scripted entry, which is shut down after the test."""
    scripted = ScriptedEntry()
    yield scripted
    scripted.server.shutdown()
    scripted.server.server_close()


@pytest.fixture(autouse=True)
def environment(entry: ScriptedEntry, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Path:
    """Points the tool at the scripted entry and isolates it from the user's files."""
    credential_file = tmp_path / "credential"
    credential_file.write_text(f"{CREDENTIAL}\n")
    credential_file.chmod(0o600)
    monkeypatch.setenv("HOME", str(tmp_path))
    monkeypatch.setenv("CICADATRAY_ENTRIES", entry.address())
    monkeypatch.setenv("CICADATRAY_CREDENTIAL_FILE", str(credential_file))
    monkeypatch.delenv("CICADATRAY_CONFIG", raising=False)
    return credential_file
