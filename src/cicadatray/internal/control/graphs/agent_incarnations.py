"""Orders the calls of each agent across restarts of the agent."""

from cicadatray.internal.wire.messages.graph_messages import SyncWorker

# Agents call every 0.5 s; a call without a reply is repeated after 1.2 s.
INCARNATION_SILENCE_S = 2.0


class _LatestCall:
    """The incarnation and sequence number of an agent's latest call, and its time of receipt."""

    __slots__ = ("incarnation", "received_s", "sequence")

    def __init__(self, call: SyncWorker, received_s: float) -> None:
        self.incarnation = call.agent_incarnation
        self.sequence = call.sequence
        self.received_s = received_s


class AgentIncarnations:
    """Tracks the current incarnation of each agent during one term.

    `superseded` maps each incarnation that another one has replaced to its highest sequence number.
    """

    __slots__ = ("latest", "superseded")

    def __init__(self) -> None:
        self.latest: dict[str, _LatestCall] = {}
        self.superseded: dict[str, int] = {}

    def accept_call(self, call: SyncWorker, now_s: float) -> bool:
        """Records a call and returns whether it is newer than every other call of its agent.

        A repetition of the newest call is accepted too, because its reply may have been lost. A new
        leader cannot tell which of two incarnations came first. Only the running one keeps
        calling, so an incarnation that was taken for superseded is accepted again once the other
        one is silent.
        """
        latest = self.latest.get(call.agent_id)
        if latest is not None and latest.incarnation == call.agent_incarnation:
            if call.sequence < latest.sequence:
                return False
        elif latest is not None:
            if call.sequence <= self.superseded.get(call.agent_incarnation, 0):
                return False
            if (
                call.agent_incarnation in self.superseded
                and now_s - latest.received_s < INCARNATION_SILENCE_S
            ):
                return False
            self.superseded[latest.incarnation] = latest.sequence
        self.latest[call.agent_id] = _LatestCall(call, now_s)
        return True
