"""Tests of the commands that evacuate data centres, against a scripted entry."""

from typing import Any

import msgspec
import pytest

from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.main import run
from cover.cli.scripted_entry import ScriptedEntry, ScriptedResponse

Captured = pytest.CaptureFixture[str]
PATH = "/v1/evacuations/paraiso"
EVACUATION = {
    "data_centre": "paraiso",
    "ordered_s": 1_700_000_000.0,
    "operator": "maria",
    "workers": 6,
    "runs_left": 2,
}
CONFIRMED: dict[str, Any] = {
    "data_centre": "paraiso",
    "is_evacuated": True,
    "is_repeated": False,
    "is_announced": True,
    "unmet_accounts": [],
    "evacuations": [EVACUATION],
}
RETURNED = {**CONFIRMED, "is_evacuated": False, "evacuations": []}
UNCONFIRMED = ScriptedResponse(
    503, b'{"code": "control_unavailable", "detail": "d"}', {"Retry-After": "1"}
)


def test_list_shows_since_when_by_whom_and_what_is_left(
    entry: ScriptedEntry, capsys: Captured
) -> None:
    """Guards against a table from which an operator cannot see whether the evacuation is over."""
    entry.respond("GET", "/v1/evacuations", {"evacuations": [EVACUATION]})
    assert run(["evacuation", "list"]) is ExitCode.OK
    header, row = capsys.readouterr().out.splitlines()
    assert header.split("  ")[0] == "DATA CENTRE" and header.endswith("RUNS LEFT")
    assert row.split() == ["paraiso", "2023-11-14T22:13:20Z", "maria", "6", "2"]
    assert run(["evacuation", "list", "--json"]) is ExitCode.OK
    assert msgspec.json.decode(capsys.readouterr().out) == {"evacuations": [EVACUATION]}


@pytest.mark.parametrize(
    ("command", "method", "response"),
    [("start", "PUT", CONFIRMED), ("stop", "DELETE", RETURNED)],
)
@pytest.mark.parametrize("first", [ScriptedResponse(dropped=True), UNCONFIRMED])
def test_all_attempts_of_an_order_have_one_operation_id(
    entry: ScriptedEntry,
    capsys: Captured,
    command: str,
    method: str,
    response: dict[str, Any],
    first: ScriptedResponse,
) -> None:
    """Guards against a late attempt that undoes a later order, because it looks like a new one."""
    entry.add(method, PATH, first)
    entry.respond(method, PATH, response)
    assert run(["evacuation", command, "paraiso"]) is ExitCode.OK
    bodies = [received.document() for received in entry.received]
    assert len(bodies) == 2 and bodies[0] == bodies[1]
    assert f"operation id {bodies[0]['operation_id']}" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("command", "changes", "exit_code", "shown", "not_shown"),
    [
        (
            "start",
            {},
            ExitCode.OK,
            ["data centre paraiso is evacuated\n", "maria"],
            ["no worker", "guarantees", "as before"],
        ),
        (
            "start",
            {"unmet_accounts": ["acueducto", "obras"], "is_announced": False},
            ExitCode.OK,
            ["by account: acueducto, obras", "no worker of paraiso is known"],
            [],
        ),
        ("start", {"is_repeated": True}, ExitCode.OK, ["as before this order"], []),
        (
            "start",
            {"is_evacuated": False, "is_repeated": True, "evacuations": []},
            ExitCode.CONFLICT,
            ["data centre paraiso is in use"],
            ["is evacuated"],
        ),
        (
            "stop",
            {"is_evacuated": False, "evacuations": []},
            ExitCode.OK,
            ["data centre paraiso is in use\n"],
            ["DATA CENTRE"],
        ),
        (
            "stop",
            {"is_repeated": True},
            ExitCode.CONFLICT,
            ["data centre paraiso is evacuated"],
            ["in use"],
        ),
    ],
)
def test_result_of_an_order(
    entry: ScriptedEntry,
    capsys: Captured,
    command: str,
    changes: dict[str, Any],
    exit_code: ExitCode,
    shown: list[str],
    not_shown: list[str],
) -> None:
    """Guards against success reported for an order that is not in force, or without its effects."""
    entry.respond("PUT" if command == "start" else "DELETE", PATH, {**CONFIRMED, **changes})
    assert run(["evacuation", command, "paraiso"]) is exit_code
    printed = capsys.readouterr().out
    assert all(text in printed for text in shown)
    assert not any(text in printed for text in not_shown)


def test_a_given_operation_id_is_sent_and_printed_as_json(
    entry: ScriptedEntry, capsys: Captured
) -> None:
    """Guards against a repeated invocation that is carried out as a new order."""
    entry.respond("PUT", PATH, CONFIRMED)
    command = "evacuation start paraiso --operation-id op-7 --json"
    assert run(command.split()) is ExitCode.OK
    assert entry.received[0].document() == {"operation_id": "op-7"}
    assert msgspec.json.decode(capsys.readouterr().out) == {**CONFIRMED, "operation_id": "op-7"}


def test_an_order_without_confirmation_is_not_reported_as_refused(entry: ScriptedEntry) -> None:
    """Guards against "not run" for an order that may be durable."""
    entry.add("PUT", PATH, UNCONFIRMED)
    command = "evacuation start paraiso --retry-for 0"
    assert run(command.split()) is ExitCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize("name", ["", ".", ".."])
def test_a_name_that_would_change_the_path_is_not_sent(entry: ScriptedEntry, name: str) -> None:
    """Guards against a request to another path."""
    assert run(["evacuation", "start", name]) is ExitCode.USAGE
    assert entry.received == []
