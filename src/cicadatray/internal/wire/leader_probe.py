"""Keeps a process in touch with the control leader."""

import asyncio
import math

import structlog

from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.messages.graph_messages import (
    MemberAddress,
    MembersReply,
    ReadMembers,
)

PROBE_INTERVAL_S = 0.7
PROBE_TIMEOUT_S = 2.0
# Without a leader a round must be short enough that a relay answers within `CONTACT_TIMEOUT_S`.
SEARCH_TIMEOUT_S = 0.8
DIRECT_TIMEOUT_S = 0.6
# A process without a leader looks for one more often.
RETRY_INTERVAL_S = 0.1
# A process without an answer for two probes and an election's share of a third cannot serve.
CONTACT_TIMEOUT_S = 2.5

log = structlog.get_logger(__name__)


class LeaderProbe:
    """Learns the members of the control group, and knows when the leader last answered."""

    __slots__ = ("control", "last_leader_reply_s", "own_relay")

    def __init__(self, control: ControlClient, own_relay: MemberAddress | None = None) -> None:
        self.control = control
        self.own_relay = own_relay
        self.last_leader_reply_s = -math.inf

    def has_recent_leader_reply(self) -> bool:
        """Returns whether the leader has answered lately."""
        return asyncio.get_running_loop().time() - self.last_leader_reply_s < CONTACT_TIMEOUT_S

    def is_connected(self) -> bool:
        """Returns whether any process of the system has answered lately, with a leader or not.

        Before the first answer of a leader it is False.
        """
        silence_s = asyncio.get_running_loop().time() - self.control.last_reply_s
        return self.last_leader_reply_s > -math.inf and silence_s < CONTACT_TIMEOUT_S

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            was_fresh = self.has_recent_leader_reply()
            await self._ask()
            if was_fresh and not self.has_recent_leader_reply():
                log.warning("leader lost", known=len(self.control.member_names))
            await asyncio.sleep(
                PROBE_INTERVAL_S if self.has_recent_leader_reply() else RETRY_INTERVAL_S
            )

    async def _ask(self) -> None:
        call = ReadMembers(relay=self.own_relay)
        try:
            if self.control.is_relaying:
                await self._try_direct(call)
            timeout_s = PROBE_TIMEOUT_S if self.has_recent_leader_reply() else SEARCH_TIMEOUT_S
            reply = await self.control.call(call, timeout_s)
        except ControlUnavailableError as error:
            log.debug("leader did not answer", reason=str(error))
            await self.control.ping_relays()
            return
        if not isinstance(reply, MembersReply):
            return
        if not self.has_recent_leader_reply():
            log.info("leader found", leader=self.control.leader_name)
        self.last_leader_reply_s = asyncio.get_running_loop().time()
        for member in reply.members:
            self.control.set_member_address(member.name, member.host, member.port)
        self.control.update_relays(reply.relays)

    async def _try_direct(self, call: ReadMembers) -> None:
        """Goes back to direct calls as soon as control can be reached again."""
        try:
            await self.control.call_directly(call, DIRECT_TIMEOUT_S)
        except ControlUnavailableError:
            return
        log.info("direct calls regained", relay=str(self.control.relays.active))
        self.control.relays.active = None
