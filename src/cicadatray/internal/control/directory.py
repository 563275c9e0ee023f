"""The leader's directory of agents."""

from cicadatray.internal.control.agent_session import AgentSession
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    RenewLease,
    Withdraw,
)


class Directory:
    """Tracks the sessions of all agents; `version` rises when the list for entries changes."""

    __slots__ = (
        "by_session_number",
        "by_worker",
        "listed_agents",
        "next_session_number",
        "sessions",
        "version",
    )

    def __init__(self) -> None:
        self.sessions: dict[str, AgentSession] = {}
        self.by_worker: dict[str, AgentSession] = {}
        self.by_session_number: dict[int, AgentSession] = {}
        self.next_session_number = 1
        self.listed_agents: tuple[AgentRecord, ...] = ()
        self.version = 0

    def announce(self, announce: Announce, now_s: float) -> AgentSession:
        """Records an announcement and returns the agent's session."""
        agent = announce.agent
        session = self.sessions.get(agent.agent_id)
        if session is None or session.record.incarnation != agent.incarnation:
            # A new number, so that a late renewal of the previous incarnation does not match.
            session = self._open_session(announce, now_s)
        else:
            session.refresh(announce, now_s)
        if announce.agent.worker_id:
            self.by_worker[announce.agent.worker_id] = session
        self.refresh_listed_agents(now_s)
        return session

    def renew(self, call: RenewLease, now_s: float) -> AgentSession | None:
        """Renews the session of an agent whose tasks have not changed.

        Returns None when session or tasks do not match; the agent must then announce itself.
        """
        session = self.by_session_number.get(call.session)
        if session is None or session.tasks_digest != call.tasks_digest:
            return None
        session.last_contact_s = now_s
        return session

    def _open_session(self, announce: Announce, now_s: float) -> AgentSession:
        previous = self.sessions.get(announce.agent.agent_id)
        if previous is not None:
            self.by_session_number.pop(previous.session_number, None)
        session = AgentSession(self.next_session_number, announce, now_s)
        self.next_session_number += 1
        self.sessions[announce.agent.agent_id] = session
        self.by_session_number[session.session_number] = session
        return session

    def withdraw(self, message: Withdraw, now_s: float) -> None:
        """Removes an agent that has shut down, unless a newer incarnation has announced itself."""
        session = self.sessions.get(message.agent_id)
        if session is None or session.record.incarnation != message.incarnation:
            return
        del self.sessions[message.agent_id]
        self.by_session_number.pop(session.session_number, None)
        self.by_worker.pop(session.record.worker_id, None)
        self.refresh_listed_agents(now_s)

    def refresh_listed_agents(self, now_s: float) -> None:
        """Updates the list that entries read, without the agents that have timed out."""
        live_agents = [s.record for s in self.sessions.values() if not s.has_timed_out(now_s)]
        listed = tuple(sorted(live_agents, key=lambda record: record.agent_id))
        if listed != self.listed_agents:
            self.listed_agents = listed
            self.version += 1
