"""Tests of the import of asset registers, rules and accounts."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from cicadatray.internal.asset_register.errors import ImportRefusedError
from cicadatray.internal.asset_register.import_accounts import import_accounts
from cicadatray.internal.asset_register.import_inventory import (
    REGISTER_LIMIT_BYTES,
    import_inventory,
)
from cicadatray.internal.asset_register.import_rules import import_rules
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.shape import Scope, Shape

TITLES = "worker_id,data_centre,rack,accelerators,cores,memory_gb,member"
ROW = "w1,north,r1,8,64,128,cartago"
WORKER = WorkerRecord("w1", "north", "r1", 8, 64, 128, "cartago")
INVENTORY = Inventory((WORKER,))
ROW_OBJECT = msgspec.to_builtins(WORKER)
SHAPE = {"accelerators": 8, "scope": "worker"}
DIGESTS = ("a" * 64, "b" * 64)


@pytest.mark.parametrize(
    "text",
    [
        f"{TITLES}\n{ROW}\n",
        f"\ufeff{TITLES}\r\n{ROW}\r\n\r\n",
        f"{TITLES}\n{ROW}".replace(",", ";"),
        f"{TITLES}\n{ROW}".replace(",", "\t"),
        f"Serial No,{TITLES},Bought\nx1,{ROW},2024-01-01\n",
        f"Hostname,Site,Rack,GPUs,CPU cores,RAM GB,Owner\n{ROW}\n",
        f'{TITLES}\n"w1" , north,r1,8,64,128,"cartago"\n'.replace('" ,', '",'),
    ],
)
def test_csv_exports(text: str) -> None:
    """Guards against common spreadsheet exports that are refused or misread."""
    assert import_inventory(text.encode(), "register.CSV") == INVENTORY


@pytest.mark.parametrize("document", [{"workers": [ROW_OBJECT]}, [{**ROW_OBJECT, "//": "note"}]])
def test_json_exports(document: Any) -> None:
    """Guards against a JSON register that is refused."""
    assert import_inventory(msgspec.json.encode(document), "r", "json") == INVENTORY


@pytest.mark.parametrize(
    ("source", "data", "reported"),
    [
        ("r.csv", f"{TITLES}\nw1,north,r1,eight,64,128,c", 'row 2.accelerators: "eight"'),
        ("r.csv", f"{TITLES}\nw1,north,r1,8,64,131072,c", "from 1 to 65536"),
        ("r.csv", f"{TITLES}\nw1,north,r1,-8,64,128,c", "from 0 to 1024"),
        ("r.csv", f"{TITLES}\nw1,north,,8,64,128,c", "row 2.rack"),
        ("r.csv", f"{TITLES}\nw 1,north,r1,8,64,128,c", "row 2.worker_id"),
        ("r.csv", f"{TITLES}\n\n{ROW}\n{ROW}", "row 4.worker_id"),
        ("r.csv", f"{TITLES}\nw1,north", "row 2: 2 cells; expected 7 cells"),
        ("r.csv", TITLES, "0 workers; expected 1 to"),
        ("r.csv", "", "expected a title row"),
        ("r.csv", f"{TITLES},rack\n{ROW},r2", "row 1, column rack: 2 columns"),
        ("r.csv", f"{TITLES.replace('rack', 'rak')}\n{ROW}", '"rak"'),
        ("r.csv", f'{TITLES}\n"w1', "expected a CSV table"),
        ("r.json", "{", "expected a JSON document"),
        ("r.json", "{}", '"workers"'),
        ("r.json", '{"workers": [], "wrokers": 1}', '"workers"'),
        ("r.json", '[{"worker_id": 1}]', "[0].worker_id: 1; expected a string"),
        ("r.json", '[{"worker_id": "w", "rak": 1}]', '[0].rak: 1; expected the known key "rack"'),
        ("r.xlsx", "", "unknown format; expected one of csv, json"),
        ("r.csv", " " * (REGISTER_LIMIT_BYTES + 1), "larger than"),
    ],
)
def test_register_fault(source: str, data: str, reported: str) -> None:
    """Guards against a report without the row, the faulty value or the valid values."""
    with pytest.raises(ImportRefusedError) as caught:
        import_inventory(data.encode(), source)
    assert str(caught.value).startswith(f"{source}: ")
    assert reported in str(caught.value)


def test_all_register_faults_are_in_one_report() -> None:
    """Guards against a report that stops at the first faulty row."""
    data = f"{TITLES}\nw1,north\nw1,north,,x,64,128,c\nw1,north,r1,8,64,128,c\n".encode()
    with pytest.raises(ImportRefusedError) as caught:
        import_inventory(data, "r.csv")
    assert [fault.path for fault in caught.value.faults] == [
        "row 2",
        "row 3.rack",
        "row 3.accelerators",
        "row 4.worker_id",
    ]


def test_register_in_another_encoding_is_refused() -> None:
    """Guards against names garbled by decoding with the wrong encoding."""
    with pytest.raises(ImportRefusedError, match="UTF-8"):
        import_inventory(f"{TITLES}\nw\xe9".encode("latin-1"), "r.csv")


def test_rules() -> None:
    """Guards against rules that lose a value on import."""
    guarantee = {"client_account": "a", "shape": SHAPE, "count": 2}
    document = {
        "//": "note",
        "policy": "compact",
        "large_job": {"accelerators": 16, "scope": "rack"},
        "guarantees": [guarantee],
        "shares": {"a": 2},
    }
    shape = Shape(8, Scope.WORKER)
    expected = Rules("compact", Shape(16, Scope.RACK), (Guarantee("a", shape, 2),), {"a": 2.0})
    assert import_rules(msgspec.json.encode(document), "rules.json") == expected


def make_rules() -> dict[str, Any]:
    guarantee = {"client_account": "a", "shape": dict(SHAPE), "count": 1}
    return {"policy": "p", "large_job": dict(SHAPE), "guarantees": [guarantee], "shares": {"a": 1}}


@pytest.mark.parametrize(
    ("change", "reported"),
    [
        (lambda d: d["large_job"].update(accelerators=0), "large_job.accelerators: 0"),
        (lambda d: d["large_job"].update(scope="room"), "one of worker, rack, data_centre"),
        (lambda d: d["guarantees"][0].update(count=0), "guarantees[0].count: 0"),
        (lambda d: d["guarantees"][0]["shape"].update(accelerators=-1), "guarantees[0].shape"),
        (lambda d: d["guarantees"][0].update(client_account=""), "client_account"),
        (lambda d: d["guarantees"][0].update(cuont=3), 'the known key "count"'),
        (lambda d: d["shares"].update(a=0), "shares.a: 0; expected a number above 0"),
        (lambda d: d.update(shares={"a": "x"}), 'shares.a: "x"'),
        (lambda d: d.update(policy=""), "the name of a policy"),
        (lambda d: d.pop("policy"), "policy: null; expected a value"),
        (lambda d: d.update(guarantees={}), "guarantees: {}; expected a list"),
    ],
)
def test_rules_fault(change: Callable[[dict[str, Any]], object], reported: str) -> None:
    """Guards against rules that would be refused or misread by control."""
    document = make_rules()
    change(document)
    with pytest.raises(ImportRefusedError) as caught:
        import_rules(msgspec.json.encode(document), "rules.json")
    assert reported in str(caught.value)


@pytest.mark.parametrize(
    ("accounts", "reported"),
    [
        ([("a", DIGESTS[0], True), ("a", DIGESTS[1], False)], "accounts[1].client_account"),
        ([("a", DIGESTS[0], True), ("b", DIGESTS[0], False)], "accounts[1].credential_sha256"),
        ([("a", DIGESTS[0], False)], "at least one with"),
        ([("a", "plain-text", True)], "64 lower-case hexadecimal digits"),
        ([("", DIGESTS[0], True)], "accounts[0].client_account"),
        ([], "at least one with"),
    ],
)
def test_accounts_fault(accounts: list[tuple[str, str, bool]], reported: str) -> None:
    """Guards against accounts that lock every operator out or share a credential."""
    keys = ("client_account", "credential_sha256", "operator")
    document = {"accounts": [dict(zip(keys, account, strict=True)) for account in accounts]}
    with pytest.raises(ImportRefusedError) as caught:
        import_accounts(msgspec.json.encode(document), "accounts.json")
    assert reported in str(caught.value)
