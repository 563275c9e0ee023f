"""Asks the control group to admit this instance."""

import asyncio

import structlog

from cicadatray.internal.observability.repeated_event import RepeatedEvent
from cicadatray.internal.settings.control_settings import ControlSettings
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.messages.graph_messages import JoinGroup, MemberAddress
from cicadatray.replication.replica import Replica

# An instance that no leader has called for this long asks to join: longer than an election.
JOIN_SILENCE_S = 1.5
JOIN_INTERVAL_S = 0.4
JOIN_TIMEOUT_S = 1.5

log = structlog.get_logger(__name__)


class GroupAdmission:
    """Acts while no leader calls the instance, and only in groups that keep their size."""

    __slots__ = ("control_client", "replica", "settings")

    def __init__(
        self, settings: ControlSettings, replica: Replica, control_client: ControlClient
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.control_client = control_client

    async def run(self) -> None:
        """Asks again and again until cancelled."""
        settings = self.settings
        listen = settings.listen
        own = MemberAddress(settings.name, listen.host, listen.port)
        no_leader = RepeatedEvent("no leader to join")
        while settings.group_size:
            await asyncio.sleep(JOIN_INTERVAL_S)
            if not self.replica.needs_to_join(JOIN_SILENCE_S):
                no_leader.record_end()
                continue
            self._learn_members()
            try:
                await self.control_client.call(JoinGroup(member=own), JOIN_TIMEOUT_S)
                no_leader.record_end()
                log.info("asked to join the control group", leader=self.control_client.leader_name)
            except ControlUnavailableError as error:
                no_leader.record_failure(type(error).__name__, reason=str(error))

    def _learn_members(self) -> None:
        """Notes the members of the group as this disk knows them: all seeds may be gone."""
        for member in self.replica.members():
            if member.member_id != self.settings.name:
                self.control_client.set_member_address(member.member_id, member.host, member.port)
