"""Tests of decoding the platform's documents, including malformed ones."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadatray.platform.configuration_document import decode_configuration, digest_credential
from cicadatray.platform.errors import DocumentError
from cicadatray.platform.fields import MAX_NUMBER
from cicadatray.platform.job_document import decode_job
from cicadatray.platform.worker_document import decode_announcement, decode_task, decode_view
from cicadatray.scheduling.taskgraphs.resources import Resources
from cicadatray.scheduling.taskgraphs.task_id import TaskId, TaskRun
from cover.platform.documents import (
    ANNOUNCEMENT,
    CONFIGURATION,
    FULL_CONFIGURATION,
    JOB,
    changed,
)

DECODERS: dict[str, tuple[dict[str, Any], Callable[[bytes], object]]] = {
    "configuration": (CONFIGURATION, decode_configuration),
    "job": (JOB, decode_job),
    "announcement": (ANNOUNCEMENT, lambda body: decode_announcement("i-1", body)),
    "view": ({"ClockMs": 5, "Running": [], "Ended": []}, decode_view),
}
ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


def encode(document: object) -> bytes:
    return msgspec.json.encode(document)


def test_decoded_configuration() -> None:
    """Guards against a wrong field name, which would silently give the default."""
    configuration = decode_configuration(encode(CONFIGURATION))
    fast = configuration.queues[0]
    assert (fast.host, fast.policy.priority, fast.policy.max_attempts) == ("jobs.example", 0, 2)
    assert (fast.policy.stretch, fast.policy.target_latency_s) == (1.5, 0.25)
    assert configuration.queues[1].is_public
    account = configuration.find_account(digest_credential("k2"))
    assert account is not None and account.guaranteed_accelerators == 16


@pytest.mark.parametrize(
    "document",
    [
        changed(CONFIGURATION, "Version", value=None),
        changed(CONFIGURATION, "Version", value=0),
        changed(CONFIGURATION, "Version", value=2**63),
        changed(CONFIGURATION, "Version", value=7.5),
        changed(CONFIGURATION, "Routes", 0, "Service", value="unknown"),
        changed(CONFIGURATION, "Routes", 1, "PathPrefix", value="/fast/"),
        changed(CONFIGURATION, "Routes", 0, "TimeoutMs", value=0),
        changed(CONFIGURATION, "Routes", 0, "TimeoutMs", value="soon"),
        changed(CONFIGURATION, "Tenants", 1, "ApiKeys", value=["k1"]),
        changed(CONFIGURATION, "Services", value=[]),
    ],
    ids=[
        "no version",
        "version 0",
        "version too large",
        "version not an integer",
        "unknown service",
        "same host and path",
        "timeout of 0",
        "timeout of another type",
        "shared key",
        "no services",
    ],
)
def test_invalid_configuration(document: dict[str, Any]) -> None:
    """Guards against accepting an invalid configuration, which would take effect."""
    with pytest.raises(DocumentError):
        decode_configuration(encode(document))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("Routes",), None),
        (("Services",), None),
        (("Limits",), None),
        (("Tenants",), None),
        (("Routes",), {}),
        (("Services",), "pool"),
        (("Limits",), []),
        (("Limits",), 7),
        (("Limits", "MaxBodyBytes"), "much"),
        (("Limits", "MaxHeaderBytes"), -1),
        (("Limits", "IdleTimeoutMs"), True),
        (("Limits", "HeaderTimeoutMs"), [3000]),
        (("Tenants",), {"one": []}),
        (("Tenants", 0, "Priority"), "high"),
        (("Tenants", 0, "RatePerS"), "many"),
        (("Tenants", 0, "ApiKeys"), "k1"),
        (("Tenants", 0, "Guaranteed"), 16),
        (("Tenants", 0, "Guaranteed"), []),
        (("Routes", 0, "Kind"), 7),
        (("Routes", 0, "Host"), None),
        (("Routes", 0, "PathPrefix"), 5),
        (("Routes", 0, "Name"), None),
        (("Routes", 0, "Service"), None),
        (("Routes", 0, "TimeoutMs"), None),
        (("Routes", 0, "AllowedRegions"), "region"),
        (("Routes", 0, "Advice"), 100),
        (("Routes", 0, "Advice"), {"DecideMs": "soon"}),
        (("Services", 0, "Name"), None),
        (("Services", 0, "MaxConns"), "many"),
        (("Services", 0, "Protocol"), 1),
        (("Services", 0, "Tls"), "no"),
        (("Services", 0, "ColdStartS"), "long"),
        (("Services", 0, "HealthPath"), False),
    ],
    ids=str,
)
def test_configuration_that_cannot_be_read_in_full(path: tuple[Any, ...], value: Any) -> None:
    """Guards against confirming a document without a section, or with a field of another type.

    A None stands for a field that is missing.
    """
    document = changed(FULL_CONFIGURATION, *path, value=value)
    with pytest.raises(DocumentError):
        decode_configuration(encode(document))


@pytest.mark.parametrize("section", ["Routes", "Services", "Limits", "Tenants"])
def test_null_is_no_section(section: str) -> None:
    """Guards against confirming a document whose sections were lost on the way as null."""
    with pytest.raises(DocumentError):
        decode_configuration(encode({**FULL_CONFIGURATION, section: None}))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("Routes",), []),
        (("Tenants",), []),
        (("Limits",), {}),
        (("Limits", "MaxBodyBytes"), None),
        (("New",), {"any": [1]}),
        (("Routes", 0, "New"), "x"),
        (("Routes", 0, "Kind"), "safe"),
        (("Routes", 0, "Kind"), None),
        (("Routes", 0, "TimeoutMs"), 1500.5),
        (("Routes", 0, "Advice"), {"DecideMs": 40, "PeriodMs": 2, "ValidMs": 3000}),
        (("Routes", 0, "AllowedRegions"), ["region"]),
        (("Routes", 0, "Stretch"), None),
        (("Routes", 0, "Public"), None),
        (("Routes", 1, "Name"), "fast"),
        (("Services", 0, "MaxConns"), None),
        (("Services", 0, "Protocol"), "h2"),
        (("Services", 0, "Tls"), True),
        (("Services", 0, "ColdStartS"), 1.5),
        (("Tenants", 0, "ApiKeys"), []),
        (("Tenants", 0, "ApiKeys"), None),
        (("Tenants", 0, "Guaranteed"), None),
        (("Routes", 0, "MaxAttempts"), 3.0),
        (("Tenants", 0, "RatePerS"), 12.5),
        (("Version",), 2**63 - 1),
        (("Version",), 8.0),
    ],
    ids=str,
)
def test_valid_variations_of_a_configuration(path: tuple[Any, ...], value: Any) -> None:
    """Guards against refusing a valid document, which leaves the operator's change undone.

    A None stands for a field that is missing.
    """
    decode_configuration(encode(changed(FULL_CONFIGURATION, *path, value=value)))


def test_accounts_are_not_required_where_no_contract_has_them() -> None:
    """Guards against refusing every configuration of an installation without client accounts."""
    document = changed(FULL_CONFIGURATION, "Tenants", value=None)
    assert decode_configuration(encode(document), requires_accounts=False).accounts == ()


def test_truncated_configuration() -> None:
    """Guards against accepting a body truncated in transit as a smaller configuration."""
    body = encode(CONFIGURATION)
    for length in range(0, len(body), 37):
        with pytest.raises(DocumentError):
            decode_configuration(body[:length])


def test_one_account_may_repeat_its_key() -> None:
    """Guards against refusing a key that is listed twice for the same account."""
    decode_configuration(encode(changed(CONFIGURATION, "Tenants", 0, "ApiKeys", value=["k", "k"])))


def test_decoded_job() -> None:
    """Guards against passing values in the platform's units to the scheduler."""
    first, second = decode_job(encode(JOB)).steps
    assert first.needs == Resources(500, 256, 1)
    assert (first.estimate_s, first.is_gang) == (0.9, True)
    assert (second.depends_on, second.required_label) == ((0,), "a")


@pytest.mark.parametrize(
    "document",
    [
        changed(JOB, "Steps", value=[]),
        changed(JOB, "Steps", 0, "DependsOn", value=[0]),
        changed(JOB, "Steps", 1, "DependsOn", value=[5]),
        changed(JOB, "Steps", 0, "Cpu", value=-1),
        changed(JOB, "Steps", 0, "Count", value=1.5),
        changed(JOB, "Steps", 0, "Count", value=10**9),
        changed(JOB, "Spec", value="x" * 4001),
        changed(JOB, "RepeatCount", value=10_001),
        changed(JOB, "RepeatCount", value=10**15),
    ],
)
def test_invalid_job(document: dict[str, Any]) -> None:
    """Guards against accepting a job with circular dependencies, too many tasks or bad values."""
    with pytest.raises(DocumentError):
        decode_job(encode(document))


def test_longest_schedule() -> None:
    """Guards against refusing a daily job because its occurrences have many tasks in all."""
    repetition = decode_job(encode(changed(JOB, "RepeatCount", value=10_000))).repetition
    assert repetition is not None and repetition.count == 10_000


@pytest.mark.parametrize(
    "field", ["State", "Address", "Service"], ids=lambda field: f"without {field}"
)
def test_announcement_without_a_required_field(field: str) -> None:
    """Guards against scheduling on a worker that the agent cannot control."""
    with pytest.raises(DocumentError):
        decode_announcement("i-1", encode(changed(ANNOUNCEMENT, field, value=None)))


INVALID_RUNNING_ROWS: tuple[Any, ...] = (
    ["0a.0", 1, "", 4],
    [],
    [None, 1, "", 2],
    None,
    "row",
    7,
    {"Task": "0a.0.1.3"},
    ["0a.0.1.2", True, "", 4],
    ["0a.0.1.2", 1.5, "", 4],
    ["0a.0.1.2", "1", "", 4],
    ["0a.0.1.3", 10**30, "", 4],
    ["0a.0.1.3", 1e30, "", 4],
    ["0a.0.1." + "9" * 30, 1, "", 4],
)
INVALID_END_ROWS: tuple[Any, ...] = (
    [2, "0a.0.1.4", 2, "unknown", ""],
    None,
    "row",
    7,
    {"Task": "0a.0.1.4"},
    [2, "0a.0.1.4", 2, ["done"], ""],
    [True, "0a.0.1.4", 2, "done", ""],
    [1.5, "0a.0.1.4", 2, "done", ""],
    ["1", "0a.0.1.4", 2, "done", ""],
    [10**30, "0a.0.1.4", 2, "done", ""],
    [2, "0a.0.1.4", 10**30, "done", ""],
    [2, "0a.0.1." + "9" * 30, 2, "done", ""],
)


@pytest.mark.parametrize(
    ("running", "ended"),
    [
        *((row, None) for row in INVALID_RUNNING_ROWS),
        *((None, row) for row in INVALID_END_ROWS),
    ],
)
def test_invalid_rows_do_not_hide_valid_ones(running: Any, ended: Any) -> None:
    """Guards against losing all runs of a worker because of one invalid row.

    A number that the messages to control cannot carry would prevent every report of the agent. A
    number of another type must not be taken for the number of a valid row.
    """
    rows = [running, ["0a.0.1.2", 1, "", 40, 900]]
    ends = [ended, [1, "0a.0.1.3", 2, "broken", ""]]
    view, clock_s, _ = decode_view(encode({"ClockMs": 1500, "Running": rows, "Ended": ends}))
    assert [str(report.run.task) for report in view.running] == ["0a.0.1.2"]
    assert [end.number for end in view.ended] == [1]
    assert clock_s == 1.5
    msgspec.msgpack.encode(view)


def list_ends(count: int) -> list[list[Any]]:
    return [[number, f"0a.0.1.{number}", 1, "done", ""] for number in range(1, count + 1)]


@pytest.mark.parametrize(
    ("lists", "is_complete"),
    [
        ({"Running": [], "Ended": []}, True),
        ({"Running": [], "Ended": list_ends(499)}, True),
        ({"Running": [], "Ended": list_ends(500)}, False),
        ({"Running": [], "Ended": [None, *list_ends(499)]}, False),
        ({}, True),
    ],
    ids=["empty", "short", "full", "full with an invalid row", "omitted"],
)
def test_view_is_complete_only_if_no_end_can_be_left_out(
    lists: dict[str, Any], is_complete: bool
) -> None:
    """Guards against starting tasks again whose ends a worker did not list yet.

    A worker lists 500 ends at once.
    """
    view, *_ = decode_view(encode({"ClockMs": 1500, **lists}))
    assert view.is_complete is is_complete
    assert bool(view.find_absent([TaskRun(TaskId("0b", 0, 0, 0), 1)])) is is_complete


@pytest.mark.parametrize("percent", [None, "40", -3, 10**30, [], 41.5])
def test_run_is_listed_whatever_its_percent(percent: Any) -> None:
    """Guards against stopping a run as missing because its progress cannot be decoded."""
    view, *_ = decode_view(encode({"Running": [["0a.0.1.2", 1, None, percent]]}))
    assert [str(report.run.task) for report in view.running] == ["0a.0.1.2"]
    assert 0 <= view.running[0].percent <= 100


@pytest.mark.parametrize("rest", [[], [None], [{"a": 1}, 4], [["c"], 4]])
def test_run_is_listed_without_a_valid_checkpoint(rest: list[Any]) -> None:
    """Guards against a next start that carries a checkpoint which is not one of the task."""
    ends = [[4, "0a.0.1.3", 2, "done", *rest[:1]]]
    view, *_ = decode_view(encode({"Running": [["0a.0.1.2", 1, *rest]], "Ended": ends}))
    assert [row.checkpoint for row in (*view.running, *view.ended)] == ["", ""]


@pytest.mark.parametrize("clock", [None, "soon", -5, 1e30])
def test_invalid_clock_does_not_hide_the_runs(clock: Any) -> None:
    """Guards against taking a worker for silent because its clock cannot be decoded."""
    view, clock_s, _ = decode_view(encode({"ClockMs": clock, "Running": [["0a.0.1.2", 1, "", 4]]}))
    assert (len(view.running), clock_s) == (1, 0.0)


@pytest.mark.parametrize("name", sorted(DECODERS))
@given(data=st.data())
def test_decoders_accept_any_input(name: str, data: st.DataObject) -> None:
    """Guards against any exception except `DocumentError` for arbitrary documents."""
    document, decode = DECODERS[name]
    field = data.draw(st.sampled_from(sorted(document)))
    value = data.draw(ANY_VALUE)
    if isinstance(document[field], list) and document[field] and data.draw(st.booleans()):
        inner = (
            data.draw(st.sampled_from(sorted(document[field][0])))
            if isinstance(document[field][0], dict)
            else None
        )
        broken = (
            changed(document, field, 0, inner if inner else 0, value=value or 0)
            if (inner)
            else changed(document, field, value=[value])
        )
    else:
        broken = {**document, field: value}
    for body in (encode(broken), encode(value), data.draw(st.binary(max_size=40))):
        try:
            decode(body)
        except DocumentError:
            continue


@given(st.text(max_size=30))
def test_task_names(text: str) -> None:
    """Guards against accepting a string that is not a task name."""
    try:
        assert str(decode_task(text)).count(".") == 3
    except DocumentError:
        numbers = text.split(".")[1:]
        assert len(numbers) != 3 or not all(
            number.isdecimal() and int(number) <= MAX_NUMBER for number in numbers
        )


@pytest.mark.parametrize(
    ("value", "expected_s"), [(4500, 4.5), (0, 0.0), (None, 0.0), (-1, 0.0), ("soon", 0.0)]
)
def test_time_until_a_worker_is_warm(value: Any, expected_s: float) -> None:
    """Guards against refusing a worker because of a hint that is absent or malformed."""
    document = {**ANNOUNCEMENT, "ColdRemainingMs": value}
    if value is None:
        del document["ColdRemainingMs"]
    offer = decode_announcement("i-1", encode(document)).offer
    assert offer.cold_remaining_s == expected_s
