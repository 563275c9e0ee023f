"""Calls to whichever control instance leads."""

import asyncio
import random

from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import PeerUnreachableError, WireError
from cicadatray.internal.wire.message import IN_DOUBT_CODE, Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import NotLeader
from cicadatray.internal.wire.rpc_client import RpcClient

# A leader that has not answered by then is frozen or cut off, and another one may lead.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1
# Control must be found again within the bound of a configuration after a partition has healed.
RECONNECT_LIMIT_S = 0.5


class ControlUnavailableError(WireError):
    """No control instance carried out the call in time.

    `may_have_effect` is False only when no instance can have acted on it.
    """

    def __init__(self, reason: str, may_have_effect: bool = True) -> None:
        super().__init__(reason)
        self.may_have_effect = may_have_effect


class ControlClient:
    """Finds the leader and repeats a call until it is answered or its time is over.

    Every call may be repeated: control recognises repeated commands by their identifiers.
    """

    __slots__ = ("clients", "codec", "leader_name", "names", "secret")

    def __init__(self, members: tuple[ControlMember, ...], codec: Codec, secret: bytes) -> None:
        self.codec = codec
        self.secret = secret
        self.clients = {m.name: self._new_client(m.host, m.port) for m in members}
        self.names = [member.name for member in members]
        self.leader_name = random.choice(self.names)

    async def call(
        self,
        message: MessageStruct,
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> MessageStruct:
        """Returns the leader's answer, which may be a `Failure`.

        A call that the leader may answer late on purpose needs a longer `attempt_timeout_s`.

        Raises:
            ControlUnavailableError: no answer in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        last_error = "no leader is known"
        may_have_effect = False
        while (remaining_s := deadline_s - loop.time()) > 0:
            name = self.leader_name
            attempt_s = min(remaining_s, attempt_timeout_s)
            try:
                reply = await self.clients[name].call(message, attempt_s)
            except WireError as error:
                last_error = str(error)
                self._try_next(name)
                if isinstance(error, PeerUnreachableError):
                    await asyncio.sleep(RETRY_PAUSE_S)
                else:
                    may_have_effect = True
                continue
            if isinstance(reply, NotLeader):
                self._learn_leader(reply)
                await self._follow(name, reply.leader_name)
            elif isinstance(reply, Failure) and reply.code == IN_DOUBT_CODE:
                last_error = reply.detail
                may_have_effect = True
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return reply
        raise ControlUnavailableError(
            f"control did not answer in time: {last_error}", may_have_effect
        )

    def learn(self, name: str, host: str, port: int) -> None:
        """Notes a control instance that the settings do not name, for example a replacement."""
        known = self.clients.get(name)
        if known is not None and (known.host, known.port) == (host, port):
            return
        self.clients[name] = self._new_client(host, port)
        if name not in self.names:
            self.names.append(name)

    async def call_member(
        self, name: str, message: MessageStruct, timeout_s: float
    ) -> MessageStruct:
        """Calls one control instance, whether it leads or not.

        Raises:
            WireError: it did not answer.
            KeyError: no control instance has this name.
        """
        return await self.clients[name].call(message, timeout_s)

    async def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            await client.close()

    def _new_client(self, host: str, port: int) -> RpcClient:
        backoff = Backoff(limit_s=RECONNECT_LIMIT_S)
        return RpcClient(host, port, self.codec, self.secret, backoff)

    def _learn_leader(self, reply: NotLeader) -> None:
        if reply.leader_name and reply.leader_host:
            self.learn(reply.leader_name, reply.leader_host, reply.leader_port)

    async def _follow(self, name: str, leader_name: str) -> None:
        if leader_name in self.clients and leader_name != name:
            self.leader_name = leader_name
            return
        self._try_next(name)
        await asyncio.sleep(RETRY_PAUSE_S)

    def _try_next(self, name: str) -> None:
        if self.leader_name == name:
            position = (self.names.index(name) + 1) % len(self.names)
            self.leader_name = self.names[position]
