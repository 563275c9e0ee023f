"""Connections from the control leader to agents."""

from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.codec import Codec
from cicadatray.internal.wire.errors import WireError
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.internal.wire.rpc_client import RpcClient

# All orders of an urgent gang must complete within 3.5 s, so an agent that has restarted is
# reconnected soon.
RECONNECT_LIMIT_S = 0.5
UNREACHABLE_CODE = "agent_unreachable"


class AgentLinks:
    """Holds one connection for each agent, opened on the first call."""

    __slots__ = ("clients", "codec", "secret")

    def __init__(self, codec: Codec, secret: bytes) -> None:
        self.codec = codec
        self.secret = secret
        self.clients: dict[str, RpcClient] = {}

    async def call(
        self, agent: AgentRecord, message: MessageStruct, timeout_s: float
    ) -> MessageStruct:
        """Sends an order and returns its reply; a `WireError` is returned as a `Failure`."""
        client = self._client(agent)
        try:
            return await client.call(message, timeout_s)
        except WireError as error:
            return Failure(code=UNREACHABLE_CODE, detail=str(error))

    async def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            await client.close()

    def _client(self, agent: AgentRecord) -> RpcClient:
        client = self.clients.get(agent.agent_id)
        if client is None or (client.host, client.port) != (agent.host, agent.port):
            if client is not None:
                client.release()
            backoff = Backoff(limit_s=RECONNECT_LIMIT_S)
            client = RpcClient(agent.host, agent.port, self.codec, self.secret, backoff)
            self.clients[agent.agent_id] = client
        return client
