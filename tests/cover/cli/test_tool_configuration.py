"""Tests of how the tool resolves its entries and credential."""

from pathlib import Path

import msgspec
import pytest

from cicadatray.internal.cli.entry_address import parse_entry_address
from cicadatray.internal.cli.errors import ToolError
from cicadatray.internal.cli.tool_configuration import Connection, resolve_connection


@pytest.fixture
def files(tmp_path: Path) -> dict[str, str]:
    document = {"//": "x", "entries": ["file:1"], "credential_file": str(tmp_path / "file")}
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(document))
    for name in ("file", "variable", "option"):
        path = tmp_path / name
        path.write_text(f"{name}-credential\n")
        path.chmod(0o600)
    return {path.name: str(path) for path in tmp_path.iterdir()}


@pytest.mark.parametrize(
    ("level", "addresses"),
    [
        ("file", ("http://file:1",)),
        ("variable", ("http://variable:1", "http://variable:2")),
        ("option", ("http://option:1",)),
    ],
)
def test_options_override_variables_and_variables_the_file(
    files: dict[str, str], level: str, addresses: tuple[str, ...]
) -> None:
    """Guards against a command that is sent to a deployment other than the one specified."""
    environment = {"CICADATRAY_CONFIG": files["config.json"]}
    if level != "file":
        environment["CICADATRAY_ENTRIES"] = "variable:1, variable:2,"
        environment["CICADATRAY_CREDENTIAL_FILE"] = files["variable"]
    entries = ("option:1", "http://option:1/") if level == "option" else ()
    path = Path(files["option"]) if level == "option" else None
    expected = Connection(addresses, f"{level}-credential")
    connection = resolve_connection(entries, path, environment)
    assert connection == expected
    assert connection.credential not in repr(connection)


@pytest.mark.parametrize(
    "content", ["", " \n", "seven77", "two words", "caf\u00e9-au-lait", "a\nbcdefgh", "x" * 5000]
)
def test_unusable_credential_is_refused(files: dict[str, str], content: str) -> None:
    """Guards against malformed headers caused by the content of a credential file."""
    Path(files["option"]).write_text(content, encoding="utf-8")
    with pytest.raises(ToolError, match="credential file"):
        resolve_connection(("a:1",), Path(files["option"]), {})


def test_warning_about_readable_credential_file(
    files: dict[str, str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a credential file that all users can read without any warning."""
    Path(files["option"]).chmod(0o644)
    resolve_connection(("a:1",), Path(files["option"]), {})
    assert "chmod 600" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("text", "url"),
    [
        ("10.0.0.1:80", "http://10.0.0.1:80"),
        ("[::1]:80", "http://[::1]:80"),
        ("https://entry.example", "https://entry.example"),
        ("http://a:80/", "http://a:80"),
    ],
)
def test_address_forms(text: str, url: str) -> None:
    """Guards against common forms of an address that are refused."""
    assert parse_entry_address(text) == url


@pytest.mark.parametrize(
    "text", ["", "ftp://a", "a:port", "a:70000", "a/b", "u:p@a:1", "a?x", "::1"]
)
def test_malformed_addresses_are_refused(text: str) -> None:
    """Guards against a credential sent to an unintended address."""
    with pytest.raises(ToolError):
        parse_entry_address(text)
