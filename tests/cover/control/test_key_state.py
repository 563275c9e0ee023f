"""Tests of the commands about keys of non-idempotent requests."""

import pytest

from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.key_messages import (
    ClaimKey,
    KeyRecord,
    KeyState,
    ReassignKey,
    ResolveKey,
)

assert commands.COMMAND_MODULES


def claim(account: str, key: str, agent: str = "agent-1") -> ClaimKey:
    return ClaimKey(
        client_account=account, key=key, digest=b"d", agent_id=agent, agent_incarnation="i"
    )


def reassign(attempt: int) -> ReassignKey:
    return ReassignKey(
        client_account="a", key="k", attempt=attempt, agent_id="agent-2", agent_incarnation="i"
    )


def resolve(attempt: int, state: KeyState) -> ResolveKey:
    return ResolveKey(client_account="a", key="k", attempt=attempt, state=state)


def apply_all(changes: list[MessageStruct]) -> KeyRecord:
    state = ControlState()
    reply: MessageStruct | None = None
    for index, command in enumerate(changes, start=1):
        reply = state.decode_reply(state.apply(index, state.encode_command(command)))
    assert isinstance(reply, KeyRecord)
    return reply


def test_accounts_with_a_slash_do_not_share_keys() -> None:
    """Guards against returning one account's outcome for another account's key."""
    record = apply_all([claim("a/b", "c", "agent-1"), claim("a", "b/c", "agent-2")])
    assert record.agent_id == "agent-2"


@pytest.mark.parametrize(
    ("changes", "agent_id", "attempt", "state"),
    [
        pytest.param(
            [claim("a", "k", "agent-9")], "agent-1", 1, KeyState.ASSIGNED, id="the first claim wins"
        ),
        pytest.param([reassign(1)], "agent-2", 2, KeyState.ASSIGNED, id="reassigned"),
        pytest.param(
            [reassign(1), reassign(1)], "agent-2", 2, KeyState.ASSIGNED, id="reassigned once"
        ),
        pytest.param(
            [resolve(1, KeyState.UNKNOWN), reassign(1)],
            "agent-1",
            1,
            KeyState.UNKNOWN,
            id="unknown is never run again",
        ),
        pytest.param(
            [resolve(1, KeyState.UNKNOWN), resolve(1, KeyState.COMPLETED)],
            "agent-1",
            1,
            KeyState.UNKNOWN,
            id="the first outcome stays",
        ),
        pytest.param(
            [reassign(1), resolve(1, KeyState.NOT_RUN)],
            "agent-2",
            2,
            KeyState.ASSIGNED,
            id="not run of an older attempt changes nothing",
        ),
        pytest.param(
            [resolve(1, KeyState.NOT_RUN), claim("a", "k", "agent-3")],
            "agent-3",
            2,
            KeyState.ASSIGNED,
            id="claimed again after not run",
        ),
    ],
)
def test_record_follows_only_the_current_attempt(
    changes: list[MessageStruct], agent_id: str, attempt: int, state: KeyState
) -> None:
    """Guards against a request that runs twice after a late command about an older attempt."""
    record = apply_all([claim("a", "k"), *changes])
    assert (record.agent_id, record.attempt, record.state) == (agent_id, attempt, state)
