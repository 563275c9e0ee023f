"""Periodic probes of the control leader."""

import asyncio
import math

import structlog

from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.leader_contact import LeaderContact
from cicadatray.internal.wire.messages.graph_messages import (
    MemberAddress,
    MembersReply,
    ReadMembers,
)

PROBE_INTERVAL_S = 0.7
PROBE_TIMEOUT_S = 2.0
# Without a leader, a round must be short enough that some relay replies within
# `CONTACT_TIMEOUT_S`.
SEARCH_TIMEOUT_S = 0.8
DIRECT_TIMEOUT_S = 0.6
# Shorter than `PROBE_INTERVAL_S`, to find a new leader soon.
RETRY_INTERVAL_S = 0.1
# Two probes and the share of a third that an election takes. A process that gets no reply for this
# long cannot serve.
CONTACT_TIMEOUT_S = 2.5

log = structlog.get_logger(__name__)


class LeaderProbe:
    """Tracks the members of the control group and the time of the leader's last reply."""

    __slots__ = (
        "control",
        "last_leader_reply_s",
        "leader_found",
        "leader_found_s",
        "leader_name",
        "own_relay",
        "own_rendezvous",
        "search",
    )

    def __init__(
        self,
        control: ControlClient,
        own_relay: MemberAddress | None = None,
        own_rendezvous: MemberAddress | None = None,
    ) -> None:
        """Creates a probe that also tells the leader what this process offers to others."""
        self.control = control
        self.own_relay = own_relay
        self.own_rendezvous = own_rendezvous
        self.search = RepeatedEvent("leader not found")
        self.last_leader_reply_s = -math.inf
        self.leader_found = asyncio.Event()  # set for a moment by each reply
        self.leader_found_s = -math.inf
        self.leader_name = ""  # empty if it replied through a relay

    def has_recent_leader_reply(self) -> bool:
        """Returns whether the leader has replied within `CONTACT_TIMEOUT_S`."""
        return asyncio.get_running_loop().time() - self.last_leader_reply_s < CONTACT_TIMEOUT_S

    def is_connected(self, limit_s: float = CONTACT_TIMEOUT_S) -> bool:
        """Returns whether any control instance or relay has replied within `limit_s`.

        It is False until a leader has replied for the first time.
        """
        silence_s = asyncio.get_running_loop().time() - self.control.last_reply_s
        return self.last_leader_reply_s > -math.inf and silence_s < limit_s

    async def wait_for_leader(self, limit_s: float) -> bool:
        """Returns True as soon as the leader replies, and False if it does not within `limit_s`."""
        if not self.has_recent_leader_reply():
            try:
                async with asyncio.timeout(limit_s):
                    await self.leader_found.wait()
            except TimeoutError:
                return False
        return True

    def contact(self) -> LeaderContact:
        """Returns what is known of the leader now."""
        now_s = asyncio.get_running_loop().time()
        is_recent = self.has_recent_leader_reply()
        relay = self.control.relays.active
        return LeaderContact(
            leader=self.leader_name if is_recent else "",
            relay=relay.name if relay is not None else "",
            known_for_s=round(now_s - self.leader_found_s, 2) if is_recent else None,
            silence_s=(
                round(now_s - self.last_leader_reply_s, 2)
                if self.last_leader_reply_s > -math.inf
                else None
            ),
        )

    async def run(self) -> None:
        """Probes the leader until cancelled."""
        while True:
            had_recent_reply = self.has_recent_leader_reply()
            await self._probe()
            if had_recent_reply and not self.has_recent_leader_reply():
                log.warning("contact with the leader lost", known=len(self.control.member_names))
            await asyncio.sleep(
                PROBE_INTERVAL_S if self.has_recent_leader_reply() else RETRY_INTERVAL_S
            )

    async def _probe(self) -> None:
        call = ReadMembers(relay=self.own_relay, rendezvous=self.own_rendezvous)
        try:
            if self.control.is_relaying:
                await self._try_direct(call)
            timeout_s = PROBE_TIMEOUT_S if self.has_recent_leader_reply() else SEARCH_TIMEOUT_S
            reply = await self.control.call(call, timeout_s)
        except WireError as error:
            log.debug("leader did not answer", reason=str(error))
            if not self.has_recent_leader_reply():
                self.search.record_failure(
                    type(error).__name__,
                    addresses=sorted(self.control.member_names),
                    members=sorted(member.name for member in self.control.group),
                    reason=str(error),
                )
            await self.control.ping_relays()
            return
        if not isinstance(reply, MembersReply):
            self.search.record_failure(type(reply).__name__, reason=str(reply))
            return
        self.search.record_end()
        self._record_leader("" if self.control.is_relaying else self.control.leader_name)
        self.control.update_members(reply.members)
        self.control.update_relays(reply.relays)

    def _record_leader(self, leader_name: str) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self.has_recent_leader_reply() or leader_name != self.leader_name:
            relay = self.control.relays.active
            log.info("leader found", leader=leader_name, relay=relay.name if relay else "")
            self.leader_found_s = now_s
            self.leader_name = leader_name
        self.last_leader_reply_s = now_s
        self.leader_found.set()
        self.leader_found.clear()

    async def _try_direct(self, call: ReadMembers) -> None:
        """Returns to direct calls as soon as control is reachable again."""
        try:
            await self.control.call_directly(call, DIRECT_TIMEOUT_S)
        except ControlUnavailableError:
            return
        log.info("direct calls to control restored", relay=str(self.control.relays.active))
        self.control.relays.active = None
