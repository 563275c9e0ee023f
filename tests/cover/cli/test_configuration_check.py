"""Tests of the check of a configuration before it is sent."""

import copy
import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.main import run
from cover.cli.scripted_entry import ScriptedEntry

Captured = pytest.CaptureFixture[str]
Document = dict[str, Any]


def worker(number: int, accelerators: int = 8) -> Document:
    return {
        "worker_id": f"w{number}",
        "data_centre": "paraiso",
        "rack": "r1",
        "accelerators": accelerators,
        "cores": 64,
        "memory_gb": 128,
        "member": "cartago",
    }


def guarantee(account: str = "a", accelerators: int = 8, count: int = 1) -> Document:
    shape = {"accelerators": accelerators, "scope": "worker"}
    return {"client_account": account, "shape": shape, "count": count}


def account(name: str, credential: str, operator: bool = False) -> Document:
    digest = hashlib.sha256(credential.encode()).hexdigest()
    return {"client_account": name, "credential_sha256": digest, "operator": operator}


VALID: Document = {
    "version": 4,
    "inventory": {"workers": [worker(1), worker(2)]},
    "rules": {
        "policy": "compact",
        "large_job": {"accelerators": 8, "scope": "worker"},
        "guarantees": [guarantee()],
        "shares": {"a": 2.0},
    },
    "accounts": {"accounts": [account("a", "x", operator=True), account("b", "y")]},
}


def changed(path: tuple[str | int, ...], value: Any) -> Document:
    """Returns the valid configuration with one value replaced."""
    document = copy.deepcopy(VALID)
    parent: Any = document
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return document


RUN_CHECK = Callable[[Document, Document], tuple[ExitCode, Document]]


@pytest.fixture
def check(tmp_path: Path, capsys: Captured) -> RUN_CHECK:
    """Returns a function that checks one configuration against another, both in files."""

    def run_check(document: Document, against: Document) -> tuple[ExitCode, Document]:
        paths = [tmp_path / "new.json", tmp_path / "old.json"]
        for path, value in zip(paths, (document, against), strict=True):
            path.write_bytes(msgspec.json.encode(value))
        new, old = map(str, paths)
        exit_code = run(["configuration", "check", new, "--against", old, "--json"])
        return exit_code, msgspec.json.decode(capsys.readouterr().out)

    return run_check


def test_a_valid_configuration_has_no_findings(check: RUN_CHECK) -> None:
    """Guards against findings that operators learn to ignore."""
    exit_code, report = check(VALID, VALID)
    assert exit_code is ExitCode.OK
    assert report == {"faults": [], "warnings": [], "differences": {}}


def test_a_default_is_no_difference(check: RUN_CHECK) -> None:
    """Guards against differences that a change would not make."""
    short, long = copy.deepcopy(VALID), copy.deepcopy(VALID)
    del short["rules"]["guarantees"][0]["count"], short["accounts"]["accounts"][1]["operator"]
    for document, against in ((short, long), (long, short)):
        assert check(document, against)[1]["differences"] == {}


@pytest.mark.parametrize(
    ("document", "path"),
    [
        (changed(("inventory", "workers", 0, "accelerators"), "eight"), "inventory.workers[0]"),
        (changed(("rules", "policy"), "none"), "rules.policy"),
        (changed(("rules", "guarantees", 0, "count"), 3), "rules.guarantees[0]"),
        (changed(("rules", "guarantees", 0), guarantee(accelerators=9)), "rules.guarantees[0]"),
        (changed(("rules", "large_job", "accelerators"), 17), "rules.large_job"),
        (changed(("accounts", "accounts", 1), account("b", "x")), "accounts.accounts[1]"),
        (changed(("accounts", "accounts", 0, "operator"), False), "accounts.accounts"),
        (changed(("acounts",), {}), "acounts"),
        ({"version": 4}, ""),
        ({"rules": changed(("rules", "guarantees", 0, "count"), 3)["rules"]}, "rules.guarantees"),
    ],
)
def test_faults_that_control_would_refuse(check: RUN_CHECK, document: Document, path: str) -> None:
    """Guards against a check that passes what control, or the import, refuses afterwards."""
    exit_code, report = check(document, VALID)
    assert exit_code is ExitCode.FAULTY_DOCUMENT
    assert any(fault["path"].startswith(path) for fault in report["faults"])


@pytest.mark.parametrize(
    ("document", "path"),
    [
        (changed(("inventory", "workers", 1), worker(2, 0)), "inventory.workers[1].accelerators"),
        (changed(("rules", "guarantees", 0), guarantee("c")), "rules.guarantees[0].client_account"),
        (changed(("rules", "shares"), {"c": 1.0}), "rules.shares[c]"),
        (changed(("rules", "guarantees", 0, "count"), 2), "rules.shares"),
        (changed(("rules", "guarantees"), [guarantee(), guarantee()]), "rules.guarantees[1]"),
        ({"accounts": {"accounts": [account("b", "x", operator=True)]}}, "rules.guarantees[0]"),
    ],
)
def test_entries_without_effect_are_warnings(
    check: RUN_CHECK, document: Document, path: str
) -> None:
    """Guards against entries that never match, or that contradict others, without a word."""
    exit_code, report = check(document, VALID)
    assert (exit_code, report["faults"]) == (ExitCode.OK, [])
    assert any(warning["path"].startswith(path) for warning in report["warnings"])


def test_differences_from_the_version_in_effect(
    entry: ScriptedEntry, capsys: Captured, tmp_path: Path
) -> None:
    """Guards against a comparison with anything but what the deployment has, and against changes.

    Documents that the file does not have are those in effect and no differences.
    """
    entry.respond("GET", "/v1/configuration", VALID)
    path = tmp_path / "rules.json"
    rules = changed(("rules", "policy"), "swift")["rules"]
    path.write_bytes(msgspec.json.encode({"rules": rules}))
    assert run(["configuration", "check", str(path)]) is ExitCode.OK
    printed = capsys.readouterr().out
    assert '+  "policy": "swift"' in printed and '-  "policy": "compact"' in printed
    assert "inventory:" not in printed and "accounts:" not in printed
    assert [received.method for received in entry.received] == ["GET"]


@pytest.mark.parametrize("content", ["", "[]", "{"])
def test_a_file_that_is_no_configuration(
    entry: ScriptedEntry, tmp_path: Path, content: str
) -> None:
    """Guards against "no faults" for a file that has no configuration."""
    path = tmp_path / "new.json"
    path.write_text(content)
    assert run(["configuration", "check", str(path)]) is ExitCode.FAULTY_DOCUMENT
    assert entry.received == []
