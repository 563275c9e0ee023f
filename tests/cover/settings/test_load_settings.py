"""Tests of reading and checking settings files."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cicadatray.internal.settings.errors import SettingsError
from cicadatray.internal.settings.load import (
    SETTINGS_LIMIT_BYTES,
    load_settings,
    parse_settings,
    read_secret,
)

EXAMPLES = sorted((Path(__file__).parents[3] / "examples").glob("*/*.json"))
ROLES = ("control", "entry", "agent")
ROLE_EXAMPLES = [path for path in EXAMPLES if path.stem.split("-")[0] in ROLES]
Change = Callable[[dict[str, Any]], object]


def make_document(role: str) -> dict[str, Any]:
    members = [{"name": f"c{n}", "host": f"10.0.0.{n}", "port": 7400} for n in (1, 2, 3)]
    document: dict[str, Any] = {
        "role": role,
        "name": "c1",
        "data_centre": "north",
        "listen": {"host": "10.0.0.1", "port": 7400},
        "secret_file": "secret",
        "control": members,
    }
    if role == "control":
        document["data_folder"] = "data"
    if role == "entry":
        document["http"] = {"host": "10.0.0.1", "port": 8080}
    if role == "agent":
        address = {"host": "127.0.0.1", "port": 9000}
        document["endpoint"] = {"service": "forms", "address": address}
    return document


def find_faults(document: Any) -> dict[str, str]:
    result = parse_settings(msgspec.json.encode(document))
    return {fault.path: fault.expected for fault in result.swap().value_or(())}


@pytest.mark.parametrize("path", ROLE_EXAMPLES, ids=lambda path: f"{path.parent.name}-{path.stem}")
def test_example_loads(path: Path) -> None:
    """Guards against an example whose settings are refused."""
    assert load_settings(path).name


def test_both_deployments_have_an_example_of_each_role() -> None:
    """Guards against the test above passing without examples because they have moved."""
    assert len(ROLE_EXAMPLES) == 8


@pytest.mark.parametrize(
    ("role", "faults"), [("control", ["listen.port"]), ("entry", []), ("agent", [])]
)
def test_listen_port_may_be_chosen_by_the_system(role: str, faults: list[str]) -> None:
    """Guards against a control instance at a port that its group cannot know in advance."""
    document = make_document(role)
    document["listen"]["port"] = 0
    assert list(find_faults(document)) == faults


@pytest.mark.parametrize("role", ["control", "entry", "agent"])
def test_minimal_document_is_accepted(role: str) -> None:
    """Guards against a check that refuses correct settings."""
    assert find_faults(make_document(role)) == {}


FAULTS: list[tuple[str, str, Change, str, str]] = [
    ("port zero", "entry", lambda d: d["http"].update(port=0), "http.port", "from 1 to 65535"),
    (
        "endpoint port zero",
        "agent",
        lambda d: d["endpoint"]["address"].update(port=0),
        "endpoint.address.port",
        "from 1 to 65535",
    ),
    ("port text", "entry", lambda d: d["http"].update(port="80"), "http.port", "a whole number"),
    ("port true", "entry", lambda d: d["http"].update(port=True), "http.port", "a whole number"),
    ("host name", "entry", lambda d: d["listen"].update(host="db"), "listen.host", "IP address"),
    (
        "unspecified listen",
        "entry",
        lambda d: d["listen"].update(host="0.0.0.0"),
        "listen.host",
        "not the unspecified",
    ),
    ("blank name", "entry", lambda d: d.update(name=" "), "name", "1 to 64 letters"),
    ("misspelt key", "entry", lambda d: d.update(queue_limt=3), "queue_limt", '"queue_limit"'),
    ("unknown key", "entry", lambda d: d.update(zzz=3), "zzz", "one of the known keys"),
    (
        "misspelt nested key",
        "entry",
        lambda d: d.update(logging={"levle": "info"}),
        "logging.levle",
        '"level"',
    ),
    ("missing key", "control", lambda d: d.pop("data_folder"), "data_folder", "missing"),
    ("level", "entry", lambda d: d.update(logging={"level": "loud"}), "logging.level", "debug"),
    ("negative", "entry", lambda d: d.update(queue_limit=-1), "queue_limit", "at least 1"),
    ("zero wait", "entry", lambda d: d.update(drain_timeout_s=0), "drain_timeout_s", "above 0"),
    ("two control", "entry", lambda d: d["control"].pop(), "control", "1, 3 or 5"),
    ("no control", "entry", lambda d: d["control"].clear(), "control", "1, 3 or 5"),
    (
        "duplicate name",
        "entry",
        lambda d: d["control"][2].update(name="c1"),
        "control[2].name",
        "no other member",
    ),
    (
        "duplicate address",
        "entry",
        lambda d: d["control"][2].update(host="10.0.0.1"),
        "control[2].host",
        "no other member",
    ),
    ("same listeners", "entry", lambda d: d.update(http=d["listen"]), "http", "differs"),
    ("idle agent", "agent", lambda d: d.pop("endpoint"), "endpoint", '"worker" or both'),
    (
        "few connections",
        "agent",
        lambda d: d["endpoint"].update(connections=4),
        "endpoint.connections",
        "at least the 8",
    ),
    (
        "bootstrap outside the group",
        "control",
        lambda d: d.update(bootstrap=True, name="c9"),
        "name",
        "when bootstrapping",
    ),
    (
        "digest",
        "control",
        lambda d: d.update(bootstrap_operator_sha256="abc"),
        "bootstrap_operator_sha256",
        "64 lower-case",
    ),
    ("role", "entry", lambda d: d.update(role="queen"), "role", "control, entry, agent"),
    ("control object", "entry", lambda d: d.update(control={}), "control", "a list"),
    ("member text", "entry", lambda d: d.update(control=["c1"]), "control[0]", "an object"),
]


@pytest.mark.parametrize(
    ("role", "change", "path", "expected"),
    [case[1:] for case in FAULTS],
    ids=[case[0] for case in FAULTS],
)
def test_fault_names_path_and_correction(
    role: str, change: Change, path: str, expected: str
) -> None:
    """Guards against a fault that is accepted, or reported without the valid values."""
    document = make_document(role)
    change(document)
    assert expected in find_faults(document).get(path, "")


def test_all_faults_are_in_one_report(tmp_path: Path) -> None:
    """Guards against a report that stops at the first fault or omits semantic ones."""
    document = make_document("agent")
    document["listen"]["port"] = 70000
    document["control"].pop()
    document["endpoint"]["slots"] = 0
    document["logging"] = {"format": "xml"}
    path = tmp_path / "agent.json"
    path.write_bytes(msgspec.json.encode(document))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    paths = [fault.path for fault in caught.value.faults]
    assert paths == ["control", "endpoint.slots", "listen.port", "logging.format"]
    assert "listen.port: 70000; expected a whole number from 0 to 65535" in str(caught.value)
    assert f"{path}: 4 faults" in str(caught.value)


def test_comments_are_ignored_at_every_level() -> None:
    """Guards against commented examples that are refused."""
    document = make_document("entry")
    document["//"] = "text"
    document["control"][0]["//name"] = "text"
    assert find_faults(document) == {}


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_data_that_is_no_settings_document_is_refused(tmp_path: Path, data: bytes) -> None:
    """Guards against a traceback on a file that is not a settings document."""
    path = tmp_path / "settings.json"
    path.write_bytes(data)
    with pytest.raises(SettingsError):
        load_settings(path)


def test_large_and_missing_files_are_refused(tmp_path: Path) -> None:
    """Guards against reading a wrong, large file into memory, and against a bare OSError."""
    path = tmp_path / "settings.json"
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(path)
    path.write_bytes(b" " * (SETTINGS_LIMIT_BYTES + 1))
    with pytest.raises(SettingsError, match="larger than"):
        load_settings(path)


def test_empty_secret_is_refused(tmp_path: Path) -> None:
    """Guards against processes that authenticate each other with an empty secret."""
    secret = tmp_path / "secret"
    secret.write_text(" \n")
    document = make_document("entry") | {"secret_file": str(secret)}
    settings = parse_settings(msgspec.json.encode(document)).unwrap()
    with pytest.raises(SettingsError, match="empty"):
        read_secret(settings)
    secret.write_text("s3\n")
    assert read_secret(settings) == b"s3"


@pytest.mark.parametrize(
    ("text", "place"),
    [(b'{"a": }', "line 1, column 7"), (b'{\n "a": 1,\n "b": }\n', "line 3, column 7")],
)
def test_syntax_error_names_line_and_column(text: bytes, place: str) -> None:
    """Guards against a byte offset in the report, which is of no help in an editor."""
    assert place in parse_settings(text).failure()[0].value
