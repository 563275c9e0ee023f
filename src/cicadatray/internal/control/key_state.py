"""Keys of non-idempotent requests in the replicated state."""

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

    The length keeps account `a/b` with key `c` apart from account `a` with key `b/c`.
    """
    return f"{len(client_account)}:{client_account}/{key}"


@register_applier(ClaimKey)
def claim_key(state: ControlState, index: int, command: ClaimKey) -> MessageStruct:
    """Assigns a new key, or one whose last attempt was not run; answers with what is recorded."""
    name = key_name(command.client_account, command.key)
    known = state.keys.get(name)
    if known is not None and known.state is not KeyState.NOT_RUN:
        return known
    if known is None and len(state.keys) >= KEY_LIMIT:
        return Failure(
            code=KEY_LIMIT_CODE,
            detail=f"{KEY_LIMIT} keys are kept already",
            retry_after_s=KEY_LIMIT_RETRY_AFTER_S,
        )
    if known is not None and known.digest != command.digest:
        return known
    record = KeyRecord(
        state=KeyState.ASSIGNED,
        digest=command.digest,
        agent_id=command.agent_id,
        agent_incarnation=command.agent_incarnation,
        attempt=known.attempt + 1 if known else 1,
        claim_index=index,
        claimed_at_s=command.time_s,
    )
    state.keys[name] = record
    return record


@register_applier(ReassignKey)
def reassign_key(state: ControlState, index: int, command: ReassignKey) -> MessageStruct:
    """Gives the next attempt to another agent unless that has already been done."""
    known = _attempt_in_effect(state, command)
    if known is None:
        return _recorded(state, command)
    record = msgspec.structs.replace(
        known,
        agent_id=command.agent_id,
        agent_incarnation=command.agent_incarnation,
        attempt=known.attempt + 1,
        claim_index=index,
    )
    state.keys[key_name(command.client_account, command.key)] = record
    return record


@register_applier(ResolveKey)
def resolve_key(state: ControlState, index: int, command: ResolveKey) -> MessageStruct:
    """Records the final outcome of the attempt in effect; the first outcome stays."""
    known = _attempt_in_effect(state, command)
    if known is None:
        return _recorded(state, command)
    record = msgspec.structs.replace(known, state=command.state, answer=command.answer)
    state.keys[key_name(command.client_account, command.key)] = record
    return record


def _attempt_in_effect(state: ControlState, command: ReassignKey | ResolveKey) -> KeyRecord | None:
    """Returns the record if it is still assigned with the attempt that the command names."""
    known = state.keys.get(key_name(command.client_account, command.key))
    if known is None or known.state is not KeyState.ASSIGNED:
        return None
    return known if known.attempt == command.attempt else None


def _recorded(state: ControlState, command: ReassignKey | ResolveKey) -> MessageStruct:
    """Answers a command that changes nothing with what is recorded."""
    known = state.keys.get(key_name(command.client_account, command.key))
    if known is not None:
        return known
    return Failure(code=KEY_UNKNOWN_CODE, detail="the key is not recorded")


@register_applier(ExpireKeys)
def expire_keys(state: ControlState, index: int, command: ExpireKeys) -> MessageStruct:
    """Forgets old keys. Keys are kept in order of their first claim."""
    for name, record in list(state.keys.items()):
        if record.claimed_at_s < command.claimed_before_s:
            del state.keys[name]
    return Acknowledged()
