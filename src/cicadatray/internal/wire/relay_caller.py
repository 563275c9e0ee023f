"""Calls to control that relays forward."""

import asyncio
import random
from collections.abc import Callable

from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import PeerUnreachableError, WireError
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.graph_messages import MemberAddress, ReadMembers
from cicadatray.internal.wire.messages.relay_messages import (
    RelayedCall,
    RelayedReply,
    RelayUnavailable,
)
from cicadatray.internal.wire.relay_routes import RelayRoutes
from cicadatray.internal.wire.retried_call import RetriedCall
from cicadatray.internal.wire.rpc_client import RpcClient

RETRY_PAUSE_S = 0.1
SEARCH_TIMEOUT_S = 0.5
# Several at a time, because some relays run on instances that are down or cut off.
SEARCHED_RELAY_COUNT = 3
# Leaves the relay time to report that control did not reply.
RELAY_TIMEOUT_SHARE = 0.8


class RelayCaller:
    """Finds a relay that reaches control, and sends calls through it.

    `on_reply` is called for each reply of a relay.
    """

    __slots__ = ("codec", "on_reply", "routes")

    def __init__(self, routes: RelayRoutes, codec: Codec, on_reply: Callable[[], None]) -> None:
        self.routes = routes
        self.codec = codec
        self.on_reply = on_reply

    async def call(self, relay: MemberAddress, retried_call: RetriedCall) -> MessageStruct | None:
        """Sends a call through a relay; returns None without a final reply of control."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            reply = await self._forward(relay, retried_call.message, retried_call.next_timeout_s())
            retried_call.trace.record_attempt(relay.name, loop.time() - started_s, None)
            if isinstance(reply, RelayedReply):
                if reply.is_earlier_in_doubt:
                    retried_call.record_failure(f"{relay.name} repeated the call", True)
                return self.codec.decode(reply.payload)[1]
        except WireError as error:
            # The reply may be lost, or be one that this process cannot decode.
            retried_call.trace.record_attempt(relay.name, loop.time() - started_s, error)
            retried_call.record_failure(str(error), not isinstance(error, PeerUnreachableError))
        else:
            is_in_doubt = not isinstance(reply, RelayUnavailable) or reply.may_have_effect
            retried_call.record_failure(f"{relay.name} replied {reply}", is_in_doubt)
        self.routes.deactivate(relay)
        await retried_call.pause(RETRY_PAUSE_S)
        return None

    async def find_relay(self, limit_s: float) -> None:
        """Activates the first of some relays through which the leader replies, if one does.

        Trying one relay after the other would cost a timeout for each one that is cut off too. It
        takes at most `limit_s` and `SEARCH_TIMEOUT_S`.
        """
        timeout_s = min(limit_s, SEARCH_TIMEOUT_S)
        chosen = self.routes.choose(SEARCHED_RELAY_COUNT)
        searches = [asyncio.create_task(self._reaches_leader(r, timeout_s)) for r in chosen]
        try:
            for search in asyncio.as_completed(searches):
                relay = await search
                if relay is not None:
                    self.routes.active = self.routes.active or relay
                    return
        finally:
            for task in searches:
                task.cancel()

    async def ping(self) -> None:
        """Calls some relays; a reply shows that this process is not isolated."""
        clients = list(self.routes.clients.values())
        chosen = random.sample(clients, min(SEARCHED_RELAY_COUNT, len(clients)))
        await asyncio.gather(*(self._ping(client) for client in chosen))

    async def _ping(self, client: RpcClient) -> None:
        payload = self.codec.encode(0, ReadMembers())
        try:
            await client.call(RelayedCall(payload=payload, timeout_s=0.0), SEARCH_TIMEOUT_S)
        except WireError:
            return
        self.on_reply()

    async def _reaches_leader(self, relay: MemberAddress, timeout_s: float) -> MemberAddress | None:
        """Returns the relay if the leader replies through it, and otherwise None."""
        try:
            reply = await self._forward(relay, ReadMembers(), timeout_s)
        except WireError:
            return None
        return relay if isinstance(reply, RelayedReply) else None

    async def _forward(
        self, relay: MemberAddress, message: MessageStruct, timeout_s: float
    ) -> MessageStruct:
        """Returns the reply of a relay to a call that it should forward.

        Raises:
            WireError: the relay did not reply, or is not listed any more.
        """
        client = self.routes.clients.get(relay)
        if client is None:
            raise PeerUnreachableError(f"{relay.name} is not a relay any more")
        payload = self.codec.encode(0, message)
        call = RelayedCall(payload=payload, timeout_s=timeout_s * RELAY_TIMEOUT_SHARE)
        try:
            reply = await client.call(call, timeout_s)
        except WireError:
            self.routes.record_silence(relay)
            raise
        self.routes.record_answer(relay)
        self.on_reply()
        return reply
