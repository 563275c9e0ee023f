"""A client on a simulated link."""

from cicadatray.internal.wire.message import MessageStruct
from cover.control.gangs.link_layer import LinkLayer


class LinkClient:
    """Replaces an `RpcClient` with a simulated link."""

    __slots__ = ("layer", "source", "target")

    def __init__(self, layer: LinkLayer, source: str, target: str) -> None:
        self.layer = layer
        self.source = source
        self.target = target

    async def call(self, message: MessageStruct, timeout_s: float) -> MessageStruct:
        """Sends a call and returns its reply."""
        return await self.layer.call(self.source, self.target, message, timeout_s)
