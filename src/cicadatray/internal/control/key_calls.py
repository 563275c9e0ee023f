"""Calls of entries about keys of non-idempotent requests."""

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
    """Answers with what is recorded of a key."""
    await daemon.require_leader_session()
    known = daemon.state.keys.get(key_name(call.client_account, call.key))
    return known if known is not None else KeyAbsent()


@register_handler(ClaimKey)
async def claim_key(daemon: "ControlDaemon", call: ClaimKey) -> MessageStruct:
    """Claims a key. A key that is recorded already is answered without a commit."""
    session = await daemon.require_leader_session()
    known = daemon.state.keys.get(key_name(call.client_account, call.key))
    if known is not None and known.state is not KeyState.NOT_RUN:
        return known
    return await session.propose(msgspec.structs.replace(call, time_s=time.time()))


@register_handler(ReassignKey)
async def reassign_key(daemon: "ControlDaemon", call: ReassignKey) -> MessageStruct:
    """Proposes a reassignment."""
    session = await daemon.require_leader_session()
    return await session.propose(call)


@register_handler(ResolveKey)
async def resolve_key(daemon: "ControlDaemon", call: ResolveKey) -> MessageStruct:
    """Proposes a final outcome."""
    session = await daemon.require_leader_session()
    return await session.propose(call)
