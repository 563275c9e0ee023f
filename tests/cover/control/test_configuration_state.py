"""Tests of concurrent and repeated changes of the configuration."""

import pytest

from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import (
    AccountRecord,
    Accounts,
    ChangeConfiguration,
    ConfigurationChanged,
    VersionConflict,
)

assert commands.COMMAND_MODULES
ADA, BEA = "ada", "bea"


def change(
    operator: str, replaces_version: int, operation_id: str, account: str = "a"
) -> ChangeConfiguration:
    records = (AccountRecord(account, "0" * 64),)
    return ChangeConfiguration(
        operation_id=operation_id,
        operator=operator,
        replaces_version=replaces_version,
        accounts=Accounts(records),
    )


def apply_all(changes: list[ChangeConfiguration]) -> list[MessageStruct]:
    state = ControlState()
    replies = []
    for index, command in enumerate(changes, start=1):
        reply = state.apply(index, state.encode_command(command))
        replies.append(state.decode_reply(reply))
        # A replica that restores the snapshot, as after a restart, must have the same state.
        copy = ControlState()
        copy.restore(state.snapshot())
        assert copy.snapshot() == state.snapshot()
    return replies


@pytest.mark.parametrize(
    ("changes", "last_reply"),
    [
        pytest.param([change(ADA, 0, "1")], ConfigurationChanged(version=1), id="first"),
        pytest.param(
            [change(ADA, 0, "1"), change(BEA, 0, "1")],
            VersionConflict(version_in_effect=1, operator=ADA),
            id="equal versions: the second operator gets the conflict",
        ),
        pytest.param(
            [change(ADA, 0, "1"), change(BEA, 1, "2"), change(ADA, 0, "1")],
            ConfigurationChanged(version=1),
            id="a resend gets its first outcome after another change",
        ),
        pytest.param(
            [change(BEA, 1, "9"), change(ADA, 0, "1"), change(BEA, 1, "9")],
            VersionConflict(version_in_effect=0, operator=""),
            id="a refused change stays refused when its version comes into effect",
        ),
    ],
)
def test_one_change_wins_and_retries_get_the_first_outcome(
    changes: list[ChangeConfiguration], last_reply: MessageStruct
) -> None:
    """Guards against two accepted changes of one version, and outcomes that differ on a resend."""
    assert apply_all(changes)[-1] == last_reply


def test_operation_id_used_for_another_change_is_refused() -> None:
    """Guards against reporting a change as in effect that was never accepted."""
    replies = apply_all([change(ADA, 0, "1"), change(ADA, 0, "1", account="b")])
    assert isinstance(replies[-1], Failure)
    assert replies[-1].code == "operation_id_reused"
