"""Calls to the control instance that leads."""

import asyncio
import math
import random

from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.call_trace import CallTrace
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import PeerUnreachableError, WireError
from cicadatray.internal.wire.message import IN_DOUBT_CODE, Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.messages.graph_messages import (
    GroupAddresses,
    MemberAddress,
)
from cicadatray.internal.wire.relay_caller import RelayCaller
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.retried_call import (
    ControlInDoubtError,
    ControlUnavailableError,
    RetriedCall,
)
from cicadatray.internal.wire.rpc_client import RpcClient

__all__ = ["ControlClient", "ControlInDoubtError", "ControlUnavailableError"]

# A leader that has not replied by then is frozen or partitioned, and another one may lead.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1
# A connection within a region opens in a few milliseconds.
CONNECT_TIMEOUT_S = 0.5
# After this many consecutive failures this process itself is probably partitioned from control.
DIRECT_FAILURE_LIMIT = 2
# After an attempt without a reply the next instances must answer sooner, so that a partition is
# noticed while the call still has time for a relay. The leader holds some calls for 0.5 s.
FOLLOW_UP_ATTEMPT_TIMEOUT_S = 0.7
# After a partition has healed, control must be reached within the validity of a configuration.
RECONNECT_LIMIT_S = 0.5


class ControlClient:
    """Finds the leader, and retries a call until it gets a reply or its deadline passes.

    Every call may be retried, because control recognises repeated commands by their identifiers.

    `group` holds the members of the control group as far as they are known. `seeds` names the
    instances that the settings list; they need not be among the members, because a seed may be a
    control instance without a replica. `followed` holds the redirects, each as the name of an
    instance and that of the leader that it named, which have been followed since the last reply of
    a leader.
    """

    __slots__ = (
        "clients",
        "codec",
        "direct_failures",
        "followed",
        "group",
        "last_reply_s",
        "leader_name",
        "member_names",
        "relay_caller",
        "relays",
        "secret",
        "seeds",
    )

    def __init__(
        self,
        members: tuple[ControlMember, ...],
        codec: Codec,
        secret: bytes,
        relays: RelayRoutes | None = None,
    ) -> None:
        """Creates a client, which uses `relays`, if given, while it cannot reach control itself."""
        self.codec = codec
        self.secret = secret
        self.clients = {m.name: self._new_client(m.host, m.port) for m in members}
        self.member_names = [member.name for member in members]
        self.leader_name = random.choice(self.member_names) if members else ""
        self.group: tuple[MemberAddress, ...] = ()
        self.seeds = frozenset(self.member_names)
        self.relays = relays or RelayRoutes("")
        self.relay_caller = RelayCaller(self.relays, codec, self._record_reply)
        self.direct_failures = 0
        self.followed: set[tuple[str, str]] = set()
        self.last_reply_s = -math.inf

    @property
    def is_relaying(self) -> bool:
        """Whether calls currently go through a relay."""
        return self.relays.active is not None

    async def call(
        self,
        message: MessageStruct,
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
        trace: CallTrace | None = None,
        may_have_effect: bool = False,
    ) -> MessageStruct:
        """Returns the leader's reply, which may be a `Failure`.

        A call whose reply the leader may delay on purpose needs a longer `attempt_timeout_s`. The
        attempts are recorded in `trace`, if it is given. `may_have_effect` tells that the caller
        has sent the same message before, and that control may have acted on it.

        Raises:
            ControlUnavailableError: no reply in time.
            ControlInDoubtError: the leader refused the call, but may have acted on an earlier
                attempt. Only calls that change state raise it.
        """
        retried_call = RetriedCall(message, timeout_s, attempt_timeout_s, trace, may_have_effect)
        while retried_call.remaining_s() > 0:
            relay = self.relays.active
            if relay is not None:
                reply = await self.relay_caller.call(relay, retried_call)
            else:
                reply = await self._call_leader(retried_call)
            if reply is not None:
                return retried_call.accept_reply(reply)
            remaining_s = retried_call.remaining_s()
            is_cut_off = self.direct_failures >= DIRECT_FAILURE_LIMIT
            if is_cut_off and self.relays.active is None and remaining_s > 0:
                await self.relay_caller.find_relay(remaining_s)
        raise retried_call.build_error()

    async def call_directly(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Returns the leader's reply without using a relay.

        Raises:
            ControlUnavailableError: no reply in time.
            ControlInDoubtError: as for `call`.
        """
        retried_call = RetriedCall(message, timeout_s, ATTEMPT_TIMEOUT_S)
        while retried_call.remaining_s() > 0:
            reply = await self._call_leader(retried_call)
            if reply is not None:
                return retried_call.accept_reply(reply)
        raise retried_call.build_error()

    async def _call_leader(self, retried_call: RetriedCall) -> MessageStruct | None:
        """Calls the instance that is assumed to lead; returns None without a final reply."""
        name = self.leader_name
        started_s = asyncio.get_running_loop().time()
        time_s = retried_call.next_timeout_s()
        if self.direct_failures:
            time_s = min(time_s, FOLLOW_UP_ATTEMPT_TIMEOUT_S)
        try:
            reply = await self._client(name).call(retried_call.message, time_s)
        except WireError as error:
            duration_s = asyncio.get_running_loop().time() - started_s
            retried_call.trace.record_attempt(name, duration_s, error)
            self.direct_failures += 1
            retried_call.record_failure(str(error), not isinstance(error, PeerUnreachableError))
            self._try_next(name)
            # Avoids a busy loop on a peer that resets every connection immediately.
            await retried_call.pause(RETRY_PAUSE_S - duration_s)
            return None
        duration_s = asyncio.get_running_loop().time() - started_s
        retried_call.trace.record_attempt(name, duration_s, None)
        if isinstance(reply, GroupAddresses):
            # Neither counts as a reply nor ends a series of failures: an instance without a replica
            # may itself be cut off from the group, and may run on the same machine as the caller.
            retried_call.record_failure("no member of the group was reached", False)
            self.learn_members(reply.members)
            await self._follow_redirect(name, reply.leader_name, retried_call)
            return None
        self._record_reply()
        self.direct_failures = 0
        if isinstance(reply, NotLeader):
            retried_call.record_failure("no leader is known", False)
            self._store_leader_address(reply)
            await self._follow_redirect(name, reply.leader_name, retried_call)
            return None
        if isinstance(reply, Failure) and reply.code == IN_DOUBT_CODE:
            retried_call.record_failure(reply.detail, True)
            await retried_call.pause(RETRY_PAUSE_S)
            return None
        self.followed.clear()
        return reply

    async def ping_relays(self) -> None:
        """Calls some relays; a reply shows that this process is not isolated."""
        await self.relay_caller.ping()

    def _record_reply(self) -> None:
        self.last_reply_s = asyncio.get_running_loop().time()

    def update_relays(self, relays: tuple[MemberAddress, ...]) -> None:
        """Replaces the relays with those that the leader named."""
        for relay in self.relays.reconcile(relays):
            self.relays.clients[relay] = self._new_client(relay.host, relay.port)

    def learn_members(self, members: tuple[MemberAddress, ...]) -> None:
        """Adds members that another process has named, which may be outdated."""
        for member in members:
            self.set_member_address(member.name, member.host, member.port)
        self.group = self.group or members

    def update_members(self, members: tuple[MemberAddress, ...]) -> None:
        """Stores the members that the leader has named, and forgets all others but the seeds.

        An instance that is gone for good does not refuse a connection, so each search for a leader
        would wait for it.
        """
        for member in members:
            self.set_member_address(member.name, member.host, member.port)
        self.group = members
        kept = {self.leader_name, *self.seeds, *(member.name for member in members)}
        for name in [name for name in self.member_names if name not in kept]:
            self.member_names.remove(name)
            self.clients.pop(name).release()

    def replace_seeds(self, seeds: tuple[ControlMember, ...]) -> None:
        """Stores the seeds of changed settings; former ones are kept until a leader is found."""
        for seed in seeds:
            self.set_member_address(seed.name, seed.host, seed.port)
        self.seeds = frozenset(seed.name for seed in seeds)

    def set_member_address(self, name: str, host: str, port: int) -> None:
        """Adds a control instance or changes its address, for example that of a replacement."""
        existing = self.clients.get(name)
        if existing is not None and (existing.host, existing.port) == (host, port):
            return
        if existing is not None:
            existing.release()
        self.clients[name] = self._new_client(host, port)
        if name not in self.member_names:
            self.member_names.append(name)

    async def call_member(
        self, name: str, message: MessageStruct, timeout_s: float
    ) -> MessageStruct:
        """Calls one control instance, whether it leads or not.

        Raises:
            WireError: the instance did not reply.
            KeyError: no control instance has this name.
        """
        return await self.clients[name].call(message, timeout_s)

    def make_client(self, host: str, port: int) -> RpcClient:
        """Returns a client that takes no part in searches; the caller has to release it."""
        return self._new_client(host, port)

    async def close(self) -> None:
        """Closes all connections."""
        for client in (*self.clients.values(), *self.relays.clients.values()):
            await client.close()

    def _client(self, name: str) -> RpcClient:
        client = self.clients.get(name)
        if client is None:
            raise PeerUnreachableError("no control instance is known")
        return client

    def _new_client(self, host: str, port: int) -> RpcClient:
        backoff = Backoff(limit_s=RECONNECT_LIMIT_S)
        return RpcClient(
            host, port, self.codec, self.secret, backoff, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    def _store_leader_address(self, reply: NotLeader) -> None:
        if reply.leader_name and reply.leader_host:
            self.set_member_address(reply.leader_name, reply.leader_host, reply.leader_port)

    async def _follow_redirect(
        self, name: str, leader_name: str, retried_call: RetriedCall
    ) -> None:
        redirect = (name, leader_name)
        if leader_name in self.clients and leader_name != name and redirect not in self.followed:
            self.followed.add(redirect)
            self.leader_name = leader_name
            return
        # A redirect that has led nowhere is followed again only after another instance was tried. A
        # former member names its last leader for good, and that one may be gone.
        self.followed.discard(redirect)
        self._try_next(name)
        await retried_call.pause(RETRY_PAUSE_S)

    def _try_next(self, name: str) -> None:
        if self.leader_name != name or not self.member_names:
            return
        position = self.member_names.index(name) + 1 if name in self.member_names else 0
        self.leader_name = self.member_names[position % len(self.member_names)]
