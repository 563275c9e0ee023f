"""The directory of agents."""

from cicadatray.internal.control.agent_session import AgentSession
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    Withdraw,
)


class Directory:
    """All agents that the leader hears of; `version` rises when entries should read it again."""

    __slots__ = ("by_worker", "listed", "sessions", "version")

    def __init__(self) -> None:
        self.sessions: dict[str, AgentSession] = {}
        self.by_worker: dict[str, AgentSession] = {}
        self.listed: tuple[AgentRecord, ...] = ()
        self.version = 0

    def announce(self, announce: Announce, now_s: float) -> None:
        """Adds or refreshes an agent."""
        session = self.sessions.get(announce.agent.agent_id)
        if session is None:
            session = AgentSession(announce, now_s)
            self.sessions[announce.agent.agent_id] = session
        else:
            session.refresh(announce, now_s)
        if announce.agent.worker_id:
            self.by_worker[announce.agent.worker_id] = session
        self.refresh_list(now_s)

    def withdraw(self, message: Withdraw, now_s: float) -> None:
        """Removes an agent that stopped as planned."""
        session = self.sessions.get(message.agent_id)
        if session is None or session.record.incarnation != message.incarnation:
            return
        del self.sessions[message.agent_id]
        self.by_worker.pop(session.record.worker_id, None)
        self.refresh_list(now_s)

    def refresh_list(self, now_s: float) -> None:
        """Recomputes the list that entries read."""
        present = [s.record for s in self.sessions.values() if not s.is_gone(now_s)]
        listed = tuple(sorted(present, key=lambda record: record.agent_id))
        if listed != self.listed:
            self.listed = listed
            self.version += 1
