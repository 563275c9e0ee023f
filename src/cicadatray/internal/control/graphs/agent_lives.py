"""Which of an agent's calls is the newest."""

from cicadatray.internal.wire.messages.graph_messages import SyncWorker

# Agents call every 0.5 s; a call that is not answered is repeated after 1.2 s.
LIFE_SILENCE_S = 2.0


class _LatestCall:
    """The life of an agent's process, the number of its latest call, and when that came."""

    __slots__ = ("heard_s", "life", "sequence")

    def __init__(self, call: SyncWorker, heard_s: float) -> None:
        self.life = call.agent_incarnation
        self.sequence = call.sequence
        self.heard_s = heard_s


class AgentLives:
    """Knows the present life of each agent during one term.

    `former` has the highest call number of every life that another one has followed.
    """

    __slots__ = ("former", "latest")

    def __init__(self) -> None:
        self.latest: dict[str, _LatestCall] = {}
        self.former: dict[str, int] = {}

    def is_latest(self, call: SyncWorker, now_s: float) -> bool:
        """Notes a call and returns whether it is newer than every other one of its agent.

        A new leader cannot tell which of two lives came first. Only the one that still runs goes on
        calling, so a life that was taken for a former one is heard again once the other is silent.
        """
        latest = self.latest.get(call.agent_id)
        if latest is not None and latest.life == call.agent_incarnation:
            if call.sequence <= latest.sequence:
                return False
        elif latest is not None:
            if call.sequence <= self.former.get(call.agent_incarnation, 0):
                return False
            if call.agent_incarnation in self.former and now_s - latest.heard_s < LIFE_SILENCE_S:
                return False
            self.former[latest.life] = latest.sequence
        self.latest[call.agent_id] = _LatestCall(call, now_s)
        return True
