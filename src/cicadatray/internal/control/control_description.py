"""The description of a control instance in state dumps."""

import asyncio
from collections import Counter

import msgspec

from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.wire.messages.evacuation_messages import Evacuation
from cicadatray.replication.description import ReplicaDescription

LISTED_LIMIT = 200


class AgentSummary(msgspec.Struct, frozen=True):
    """One agent in the leader's directory."""

    agent_id: str
    incarnation: str
    address: str
    silent_s: float
    tasks: int
    draining: bool


class GangSummary(msgspec.Struct, frozen=True):
    """One job that holds capacity."""

    job_id: str
    client_account: str
    state: str
    epoch: int
    reason: str


class LeaderSummary(msgspec.Struct, frozen=True):
    """The soft state that only the leader holds."""

    term: int
    leading_s: float
    directory_version: int
    agents: tuple[AgentSummary, ...]


class ControlDescription(msgspec.Struct, frozen=True):
    """Counts of the replicated state, and lists of at most `LISTED_LIMIT` items."""

    replica: ReplicaDescription
    configuration_version: int
    configuration_operator: str
    jobs_by_state: dict[str, int]
    keys_by_state: dict[str, int]
    gangs: tuple[GangSummary, ...]
    leader: LeaderSummary | None
    evacuations: tuple[Evacuation, ...] = ()


def describe_control(
    state: ControlState, replica: ReplicaDescription, session: LeaderSession | None
) -> ControlDescription:
    """Returns the description of one control instance."""
    return ControlDescription(
        replica=replica,
        configuration_version=state.configuration.version,
        configuration_operator=state.configuration.operator,
        jobs_by_state=dict(Counter(entry.state.value for entry in state.jobs.values())),
        keys_by_state=dict(Counter(record.state.value for record in state.keys.values())),
        gangs=_gang_summaries(state),
        leader=_leader_summary(session) if session is not None else None,
        evacuations=tuple(state.evacuations.active.values())[:LISTED_LIMIT],
    )


def _gang_summaries(state: ControlState) -> tuple[GangSummary, ...]:
    holding = [entry for entry in state.jobs.values() if entry.gang is not None]
    return tuple(
        GangSummary(
            entry.request.job_id,
            entry.request.client_account,
            entry.state.value,
            entry.epoch,
            entry.reason,
        )
        for entry in holding[:LISTED_LIMIT]
    )


def _leader_summary(session: LeaderSession) -> LeaderSummary:
    now_s = asyncio.get_running_loop().time()
    sessions = list(session.directory.sessions.values())[:LISTED_LIMIT]
    agents = tuple(
        AgentSummary(
            agent.record.agent_id,
            agent.record.incarnation,
            f"{agent.record.host}:{agent.record.port}",
            round(now_s - agent.last_contact_s, 3),
            len(agent.reports),
            agent.record.draining,
        )
        for agent in sessions
    )
    return LeaderSummary(
        session.term, round(now_s - session.started_s, 3), session.directory.version, agents
    )
