"""The relays that processes may use to reach the leader around a partition."""

from cicadatray.internal.wire.messages.graph_messages import MemberAddress

# A relay announces itself with each of its leader probes.
RELAY_EXPIRY_S = 5.0
# A process needs only a few relays to get around a partition.
MAX_RELAYS = 16


class RelayDirectory:
    """Soft state of one leader: the time of the latest announcement of each relay."""

    __slots__ = ("announced_s",)

    def __init__(self) -> None:
        self.announced_s: dict[MemberAddress, float] = {}

    def register(self, relay: MemberAddress | None, now_s: float) -> tuple[MemberAddress, ...]:
        """Registers a relay, if one is given, and returns a selection of the current relays."""
        if relay is not None:
            self.announced_s[relay] = now_s
        announced = self.announced_s.items()
        for expired in [r for r, seen_s in announced if now_s - seen_s > RELAY_EXPIRY_S]:
            del self.announced_s[expired]
        # Instances of one data centre have adjacent names, so equal distances spread the selection.
        relays = sorted(self.announced_s, key=lambda address: address.name)
        count = min(len(relays), MAX_RELAYS)
        return tuple(relays[number * len(relays) // count] for number in range(count))
