"""Handlers of calls about keys of non-idempotent requests."""

import time
from typing import TYPE_CHECKING

import msgspec

from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.control.key_state import key_name
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.key_messages import (
    ClaimKey,
    KeyAbsent,
    KeyState,
    ReadKey,
    ReassignKey,
    ResolveKey,
)

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon


@register_handler(ReadKey)
async def read_key(daemon: "ControlDaemon", call: ReadKey) -> MessageStruct:
    """Returns the record of a key, or `KeyAbsent`."""
    await daemon.require_leader_session()
    existing = daemon.state.keys.get(key_name(call.client_account, call.key))
    return existing if existing is not None else KeyAbsent()


@register_handler(ClaimKey)
async def claim_key(daemon: "ControlDaemon", call: ClaimKey) -> MessageStruct:
    """Proposes a claim, or returns an existing record that was not resolved as not run."""
    session = await daemon.require_leader_session()
    existing = daemon.state.keys.get(key_name(call.client_account, call.key))
    if existing is not None and existing.state is not KeyState.NOT_RUN:
        return existing
    return await session.propose(msgspec.structs.replace(call, time_s=time.time()))


@register_handler(ReassignKey)
async def reassign_key(daemon: "ControlDaemon", call: ReassignKey) -> MessageStruct:
    """Proposes the reassignment of a key to another agent."""
    session = await daemon.require_leader_session()
    return await session.propose(call)


@register_handler(ResolveKey)
async def resolve_key(daemon: "ControlDaemon", call: ResolveKey) -> MessageStruct:
    """Proposes the final outcome of an attempt."""
    session = await daemon.require_leader_session()
    return await session.propose(call)
