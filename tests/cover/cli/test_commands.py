"""Tests of complete commands against a scripted entry."""

import hashlib
import io
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cicadatray.internal.cli.exit_code import ExitCode
from cicadatray.internal.cli.main import run
from cicadatray.internal.cli.output import Output
from cover.cli.scripted_entry import CREDENTIAL, ScriptedEntry, ScriptedResponse

JOB = {
    "job_id": "job-1",
    "state": "running",
    "client_account": "a",
    "shape": {"accelerators": 8, "scope": "worker"},
    "urgent": False,
    "reason": "",
    "placement": None,
    "epoch": 1,
}
RULES = {"policy": "compact", "large_job": {"accelerators": 16, "scope": "rack"}}
SUBMIT = "job submit --accelerators 8 --scope worker --declared-run 60"
REGISTER = "worker_id,site,rack,gpus,cores,memory_gb,member\nw1,north,r1,8,64,128,cartago\n"
CONFIGURATION = {
    "version": 4,
    "inventory": {"workers": []},
    "rules": RULES,
    "accounts": {"accounts": [{"client_account": "a"}]},
}
Captured = pytest.CaptureFixture[str]


def test_every_command_has_examples(capsys: Captured) -> None:
    """Guards against a command whose help shows no example."""
    commands = [
        "request send",
        *[f"job {name}" for name in ("submit", "show", "wait", "list", "cancel", "explain")],
        *[f"configuration {name}" for name in ("show", "diff", "history", "check")],
        *[f"configuration {name}" for name in ("import-inventory", "set-rules", "set-accounts")],
        *[f"member {name}" for name in ("add", "promote", "remove")],
        *[f"evacuation {name}" for name in ("list", "start", "stop")],
        *("directory", "dump", "metrics", "check", "completion"),
    ]
    for command in commands:
        assert run([*command.split(), "--help"]) is ExitCode.OK
        assert f"  cicadatray {command}" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("command", "exit_code"),
    [
        ("", ExitCode.OK),
        ("no-such-command", ExitCode.USAGE),
        ("job show", ExitCode.USAGE),
        ("job submit --accelerators eight", ExitCode.USAGE),
        ("job show x --entry host/path", ExitCode.USAGE),
        ("job show x --credential-file /nonexistent", ExitCode.USAGE),
        ("request send s --data a --body b", ExitCode.USAGE),
        ("request send s --deadline-ms 0", ExitCode.USAGE),
        ("request send s --idempotency-key \x01", ExitCode.USAGE),
        ("configuration set-rules f --operation-id o --replaces-version x", ExitCode.USAGE),
        ("member add c4 10.0.0.4 0", ExitCode.USAGE),
        ("check /nonexistent", ExitCode.FAULTY_DOCUMENT),
        ("job show absent", ExitCode.NOT_FOUND),
        ("completion bash", ExitCode.OK),
    ],
)
def test_exit_code(command: str, exit_code: ExitCode) -> None:
    """Guards against a usage error or a missing job that a script treats as success."""
    assert run(command.split()) is exit_code


def test_request_prints_the_body_and_sends_the_headers(
    entry: ScriptedEntry, capsys: Captured, tmp_path: Path
) -> None:
    """Guards against altered bodies and non-idempotent requests sent without their key."""
    path = "/v1/services/water%2Fforms/requests"
    completed = {"Cicadatray-Outcome": "completed"}
    entry.add("POST", path, ScriptedResponse(200, b"answer\x00", completed))
    body = tmp_path / "body"
    body.write_bytes(b"\x00\xff")
    command = f"request send water/forms --body {body} --non-idempotent --idempotency-key k1"
    assert run(command.split()) is ExitCode.OK
    captured = capsys.readouterr()
    assert captured.out == "answer\x00"
    assert "idempotency key k1" in captured.err
    (received,) = entry.received
    assert received.body == b"\x00\xff"
    assert received.headers["authorization"] == f"Bearer {CREDENTIAL}"
    assert received.headers["idempotency-key"] == "k1"
    assert received.headers["request-non-idempotent"] == "true"


@pytest.mark.parametrize(
    ("status_code", "outcome", "exit_code"),
    [
        (500, "completed", ExitCode.FAILED),
        (404, "completed", ExitCode.FAILED),
        (503, "not_run", ExitCode.NOT_RUN),
        (502, "outcome_unknown", ExitCode.OUTCOME_UNKNOWN),
    ],
)
def test_request_outcomes(
    entry: ScriptedEntry, status_code: int, outcome: str, exit_code: ExitCode
) -> None:
    """Guards against an endpoint's own error that is reported as an error of the entry."""
    headers = {"Cicadatray-Outcome": outcome}
    body = b'{"code": "c", "detail": "d"}'
    entry.add("POST", "/v1/services/s/requests", ScriptedResponse(status_code, body, headers))
    assert run(["request", "send", "s"]) is exit_code


def test_request_is_resent_with_the_same_key(entry: ScriptedEntry, capsys: Captured) -> None:
    """Guards against a second run: a resend with a new key would be run again."""
    entry.add("POST", "/v1/jobs", ScriptedResponse(dropped=True))
    entry.respond("POST", "/v1/jobs", JOB, 201)
    assert run([*SUBMIT.split(), "--json"]) is ExitCode.OK
    first, second = entry.received
    assert first.headers["idempotency-key"] == second.headers["idempotency-key"]
    assert first.body == second.body
    captured = capsys.readouterr()
    assert msgspec.json.decode(captured.out)["job_id"] == "job-1"
    assert first.headers["idempotency-key"] in captured.err


def test_job_submission_body(entry: ScriptedEntry, tmp_path: Path) -> None:
    """Guards against options that are missing from the request body."""
    entry.respond("POST", "/v1/jobs", JOB, 201)
    payload = tmp_path / "payload"
    payload.write_text("run")
    assert run([*SUBMIT.split(), "--urgent", "--checkpointable", "--payload", str(payload)]) == 0
    assert entry.received[0].document() == {
        "shape": {"accelerators": 8, "scope": "worker"},
        "declared_run_s": 60.0,
        "checkpointable": True,
        "urgent": True,
        "payload": "run",
    }


@pytest.mark.parametrize(
    ("states", "options", "exit_code"),
    [
        (["running", "running", "completed"], "", ExitCode.OK),
        (["waiting", "failed"], "", ExitCode.FAILED),
        (["cancelled"], "", ExitCode.FAILED),
        (["running"], "--timeout 0", ExitCode.TIMED_OUT),
    ],
)
def test_job_wait(
    entry: ScriptedEntry, states: list[str], options: str, exit_code: ExitCode
) -> None:
    """Guards against a wait that ends early or reports a failed job as success."""
    for state in states:
        entry.respond("GET", "/v1/jobs/job-1", {**JOB, "state": state})
    assert run(f"job wait job-1 {options}".split()) is exit_code
    assert len(entry.received) == len(states)


def test_job_list_as_table_and_json(entry: ScriptedEntry, capsys: Captured) -> None:
    """Guards against tables and JSON that cannot be parsed, and against terminal escapes."""
    entry.respond("GET", "/v1/jobs", {"jobs": [JOB, {**JOB, "reason": "no\x1b[2Jroom"}]})
    assert run(["job", "list"]) is ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split() == ["JOB", "STATE", "SHAPE", "URGENT", "REASON"]
    assert "8 in one worker" in lines[1] and lines[2].endswith("no\\x1b[2Jroom")
    assert run(["job", "list", "--state", "running", "--json"]) is ExitCode.OK
    assert len(msgspec.json.decode(capsys.readouterr().out)["jobs"]) == 2
    assert run(["job", "list", "--state", "failed", "--json"]) is ExitCode.OK
    assert msgspec.json.decode(capsys.readouterr().out) == {"jobs": []}


def test_table_on_a_terminal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against text of the deployment that is interpreted by a terminal or by Rich."""
    terminal = io.StringIO()
    monkeypatch.setattr(terminal, "isatty", lambda: True)
    monkeypatch.setattr("sys.stdout", terminal)
    Output(is_json=False).print_table(["REASON"], [["[bold]no\x1b[2Jroom"]])
    assert "\u2502 [bold]no\\x1b[2Jroom" in terminal.getvalue()


@pytest.mark.parametrize(
    ("command", "path", "document", "shown"),
    [
        ("job show job-1", "/v1/jobs/job-1", JOB, "running"),
        ("job explain job-1", "/v1/jobs/job-1/explanation", {"needs": "8 more"}, "8 more"),
        ("directory", "/v1/directory", {"agents": [{"agent_id": "agent-7"}]}, "agent-7"),
        ("dump c1", "/v1/processes/c1/dump", {"leases": 3}, '"leases": 3'),
        ("configuration show", "/v1/configuration", CONFIGURATION, "compact"),
        ("configuration show rules", "/v1/configuration", CONFIGURATION, '"large_job"'),
        (
            "configuration history",
            "/v1/configuration/history",
            {"changes": [{"version": 4, "operator": "maria"}]},
            "maria",
        ),
    ],
)
def test_read_commands(
    entry: ScriptedEntry, capsys: Captured, command: str, path: str, document: Any, shown: str
) -> None:
    """Guards against a command that requests the wrong path or omits the result."""
    entry.respond("GET", path, document)
    for option in ([], ["--json"]):
        assert run([*command.split(), *option]) is ExitCode.OK
        assert shown in capsys.readouterr().out


def test_metrics_are_parsed_for_programs(entry: ScriptedEntry, capsys: Captured) -> None:
    """Guards against label values whose escapes are decoded incorrectly."""
    text = b'# TYPE a counter\na{x="1\\"2\\\\",y="n\\nn"} 2\nb 0.5\n'
    entry.add("GET", "/metrics", ScriptedResponse(200, text))
    assert run(["metrics", "--json"]) is ExitCode.OK
    assert msgspec.json.decode(capsys.readouterr().out)["samples"] == [
        {"name": "a", "labels": {"x": '1"2\\', "y": "n\nn"}, "value": 2.0},
        {"name": "b", "labels": {}, "value": 0.5},
    ]


@pytest.mark.parametrize(
    ("command", "body"),
    [
        (
            "add c4 10.0.0.4 7400",
            {"action": "add", "name": "c4", "host": "10.0.0.4", "port": 7400},
        ),
        ("promote c4", {"action": "promote", "name": "c4"}),
        ("remove c1", {"action": "remove", "name": "c1"}),
    ],
)
def test_member_changes(entry: ScriptedEntry, command: str, body: dict[str, Any]) -> None:
    """Guards against a membership change other than the requested one."""
    entry.respond("POST", "/v1/members", {"name": body["name"], "action": body["action"]})
    assert run(f"member {command}".split()) is ExitCode.OK
    assert [received.document() for received in entry.received] == [body]


def test_job_cancel(entry: ScriptedEntry) -> None:
    """Guards against a cancellation that only reads the job."""
    entry.respond("DELETE", "/v1/jobs/job-1", {**JOB, "state": "cancelled"})
    assert run(["job", "cancel", "job-1"]) is ExitCode.OK


@pytest.fixture
def documents(tmp_path: Path) -> dict[str, Path]:
    digest = hashlib.sha256(b"x").hexdigest()
    accounts = [{"client_account": "a", "credential_sha256": digest, "operator": True}]
    texts = {
        "import-inventory": ("register.csv", REGISTER.encode()),
        "set-rules": ("rules.json", msgspec.json.encode(RULES)),
        "set-accounts": ("accounts.json", msgspec.json.encode({"accounts": accounts})),
    }
    for name, content in texts.values():
        (tmp_path / name).write_bytes(content)
    return {command: tmp_path / name for command, (name, _) in texts.items()}


@pytest.mark.parametrize(
    ("command", "kind"),
    [("import-inventory", "inventory"), ("set-rules", "rules"), ("set-accounts", "accounts")],
)
def test_change_replaces_the_version_in_effect(
    entry: ScriptedEntry, capsys: Captured, documents: dict[str, Path], command: str, kind: str
) -> None:
    """Guards against overwriting another operator's change, and against applying one twice."""
    entry.respond("GET", "/v1/configuration", CONFIGURATION)
    path = f"/v1/configuration/{kind}"
    entry.add("PUT", path, ScriptedResponse(dropped=True))
    entry.respond("PUT", path, {"version": 5})
    assert run(["configuration", command, str(documents[command])]) is ExitCode.OK
    first, second = [r.document() for r in entry.received if r.method == "PUT"]
    assert first == second and first["replaces_version"] == 4
    captured = capsys.readouterr()
    assert f"operation id {first['operation_id']}, replaces version 4" in captured.err
    assert "version 5 is accepted" in captured.out


def test_change_conflict_and_dry_run(
    entry: ScriptedEntry, capsys: Captured, documents: dict[str, Path]
) -> None:
    """Guards against a dry run with side effects and a conflict reported as success."""
    entry.respond("GET", "/v1/configuration", CONFIGURATION)
    conflict = {"code": "version_conflict", "detail": "version 9 by maria is in effect"}
    entry.respond("PUT", "/v1/configuration/inventory", conflict, 409)
    command = ["configuration", "import-inventory", str(documents["import-inventory"])]
    assert run([*command, "--dry-run"]) is ExitCode.OK
    assert '+      "worker_id": "w1"' in capsys.readouterr().out
    assert [received.method for received in entry.received] == ["GET"]
    assert run(command) is ExitCode.CONFLICT
    assert "version 9 by maria" in capsys.readouterr().err
    assert run([*command, "--operation-id", "o"]) is ExitCode.USAGE


def test_faulty_register_is_not_sent(
    entry: ScriptedEntry, capsys: Captured, tmp_path: Path
) -> None:
    """Guards against a faulty document that is sent to the deployment."""
    path = tmp_path / "register.csv"
    path.write_text(REGISTER.replace(",8,", ",eight,"))
    command = ["configuration", "import-inventory", str(path), "--json"]
    assert run(command) is ExitCode.FAULTY_DOCUMENT
    assert "row 2.accelerators" in capsys.readouterr().err
    assert entry.received == []


@pytest.mark.parametrize("option", [[], ["--json"]])
def test_credential_is_never_printed(
    entry: ScriptedEntry, capsys: Captured, option: list[str]
) -> None:
    """Guards against a credential in the output, also when a response contains it."""
    entry.respond("GET", "/v1/jobs/job-1", {**JOB, "reason": f"for {CREDENTIAL}"})
    entry.respond("GET", "/v1/jobs/job-2", {"code": "c", "detail": f"bad {CREDENTIAL}"}, 403)
    entry.add("GET", "/metrics", ScriptedResponse(200, CREDENTIAL.encode()))
    for command in ("job show job-1", "job show job-2", "metrics"):
        run([*command.split(), *option])
    captured = capsys.readouterr()
    assert CREDENTIAL not in captured.out + captured.err


def test_check_reports_all_files(capsys: Captured, tmp_path: Path) -> None:
    """Guards against a check that stops at the first faulty file."""
    for name in ("a.json", "b.json"):
        (tmp_path / name).write_text('{"role": "queen"}')
    paths = [str(tmp_path / name) for name in ("a.json", "b.json")]
    assert run(["check", *paths, "--json"]) is ExitCode.FAULTY_DOCUMENT
    results = msgspec.json.decode(capsys.readouterr().out)
    assert [results[path]["faults"][0]["path"] for path in paths] == ["role", "role"]
