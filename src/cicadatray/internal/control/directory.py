"""The directory of agents."""

from cicadatray.internal.control.agent_session import AgentSession
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    RenewLease,
    Withdraw,
)


class Directory:
    """All agents that the leader hears of; `version` rises when entries should read it again."""

    __slots__ = ("by_number", "by_worker", "listed", "next_number", "sessions", "version")

    def __init__(self) -> None:
        self.sessions: dict[str, AgentSession] = {}
        self.by_worker: dict[str, AgentSession] = {}
        self.by_number: dict[int, AgentSession] = {}
        self.next_number = 1
        self.listed: tuple[AgentRecord, ...] = ()
        self.version = 0

    def announce(self, announce: Announce, now_s: float) -> AgentSession:
        """Adds or refreshes an agent."""
        agent = announce.agent
        session = self.sessions.get(agent.agent_id)
        if session is None or session.record.incarnation != agent.incarnation:
            # A new number, so that a renewal of the earlier incarnation is not taken for this one.
            session = self._open_session(announce, now_s)
        else:
            session.refresh(announce, now_s)
        if announce.agent.worker_id:
            self.by_worker[announce.agent.worker_id] = session
        self.refresh_list(now_s)
        return session

    def renew(self, call: RenewLease, now_s: float) -> AgentSession | None:
        """Refreshes an agent whose tasks have not changed; None asks it to announce itself."""
        session = self.by_number.get(call.session)
        if session is None or session.tasks_digest != call.tasks_digest:
            return None
        session.last_heard_s = now_s
        return session

    def _open_session(self, announce: Announce, now_s: float) -> AgentSession:
        earlier = self.sessions.get(announce.agent.agent_id)
        if earlier is not None:
            self.by_number.pop(earlier.number, None)
        session = AgentSession(self.next_number, announce, now_s)
        self.next_number += 1
        self.sessions[announce.agent.agent_id] = session
        self.by_number[session.number] = session
        return session

    def withdraw(self, message: Withdraw, now_s: float) -> None:
        """Removes an agent that stopped as planned."""
        session = self.sessions.get(message.agent_id)
        if session is None or session.record.incarnation != message.incarnation:
            return
        del self.sessions[message.agent_id]
        self.by_number.pop(session.number, None)
        self.by_worker.pop(session.record.worker_id, None)
        self.refresh_list(now_s)

    def refresh_list(self, now_s: float) -> None:
        """Recomputes the list that entries read."""
        present = [s.record for s in self.sessions.values() if not s.is_gone(now_s)]
        listed = tuple(sorted(present, key=lambda record: record.agent_id))
        if listed != self.listed:
            self.listed = listed
            self.version += 1
