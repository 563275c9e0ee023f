"""Applies commands about keys of non-idempotent requests to the replicated state."""

import msgspec

from cicadatray.internal.control.command_registry import register_applier
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import Acknowledged
from cicadatray.internal.wire.messages.key_messages import (
    ClaimKey,
    ExpireKeys,
    KeyRecord,
    KeyState,
    ReassignKey,
    ResolveKey,
)

KEY_UNKNOWN_CODE = "key_unknown"
KEY_LIMIT = 200_000
KEY_LIMIT_CODE = "too_many_keys"
KEY_LIMIT_RETRY_AFTER_S = 60.0


def key_name(client_account: str, key: str) -> str:
    """Returns the name under which a client account's key is stored.

    The length prefix distinguishes account `a/b` with key `c` from account `a` with key `b/c`.
    """
    return f"{len(client_account)}:{client_account}/{key}"


@register_applier(ClaimKey)
def claim_key(state: ControlState, index: int, command: ClaimKey) -> MessageStruct:
    """Assigns a new key, or one whose last attempt was not run, and returns the key's record."""
    name = key_name(command.client_account, command.key)
    existing = state.keys.get(name)
    if existing is not None and existing.state is not KeyState.NOT_RUN:
        return existing
    if existing is None and len(state.keys) >= KEY_LIMIT:
        return Failure(
            code=KEY_LIMIT_CODE,
            detail=f"the limit of {KEY_LIMIT} stored keys is reached",
            retry_after_s=KEY_LIMIT_RETRY_AFTER_S,
        )
    if existing is not None and existing.digest != command.digest:
        return existing
    record = KeyRecord(
        state=KeyState.ASSIGNED,
        digest=command.digest,
        agent_id=command.agent_id,
        agent_incarnation=command.agent_incarnation,
        attempt=existing.attempt + 1 if existing else 1,
        claim_index=index,
        claimed_at_s=command.time_s,
    )
    state.keys[name] = record
    return record


@register_applier(ReassignKey)
def reassign_key(state: ControlState, index: int, command: ReassignKey) -> MessageStruct:
    """Assigns the next attempt to another agent, if the attempt of the command is current."""
    existing = _find_current_attempt(state, command)
    if existing is None:
        return _current_record(state, command)
    record = msgspec.structs.replace(
        existing,
        agent_id=command.agent_id,
        agent_incarnation=command.agent_incarnation,
        attempt=existing.attempt + 1,
        claim_index=index,
    )
    state.keys[key_name(command.client_account, command.key)] = record
    return record


@register_applier(ResolveKey)
def resolve_key(state: ControlState, index: int, command: ResolveKey) -> MessageStruct:
    """Records the final outcome of the current attempt; a recorded outcome is not replaced."""
    existing = _find_current_attempt(state, command)
    if existing is None:
        return _current_record(state, command)
    record = msgspec.structs.replace(existing, state=command.state, answer=command.answer)
    state.keys[key_name(command.client_account, command.key)] = record
    return record


def _find_current_attempt(
    state: ControlState, command: ReassignKey | ResolveKey
) -> KeyRecord | None:
    """Returns the record if it is still assigned to the attempt that the command names."""
    existing = state.keys.get(key_name(command.client_account, command.key))
    if existing is None or existing.state is not KeyState.ASSIGNED:
        return None
    return existing if existing.attempt == command.attempt else None


def _current_record(state: ControlState, command: ReassignKey | ResolveKey) -> MessageStruct:
    """Returns the reply to a command that changes nothing, which is the record as it is."""
    existing = state.keys.get(key_name(command.client_account, command.key))
    if existing is not None:
        return existing
    return Failure(code=KEY_UNKNOWN_CODE, detail="the key is not recorded")


@register_applier(ExpireKeys)
def expire_keys(state: ControlState, index: int, command: ExpireKeys) -> MessageStruct:
    """Removes keys that were claimed too long ago; the store is in order of their first claim."""
    for name, record in list(state.keys.items()):
        if record.claimed_at_s < command.claimed_before_s:
            del state.keys[name]
    return Acknowledged()
