"""Keeps the agent known to the control leader and its lease alive."""

import asyncio

import structlog

from cicadatray.internal.agent.task_table import TaskTable
from cicadatray.internal.control.leases import ANNOUNCE_INTERVAL_S, LEASE_S
from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    AnnounceReply,
    Withdraw,
)

# The worker is asked for the states of running tasks this often.
REFRESH_INTERVAL_S = 0.25
WITHDRAW_TIMEOUT_S = 2.0

log = structlog.get_logger(__name__)


class Announcer:
    """One task that announces the agent every second, and at once when something has changed."""

    __slots__ = ("backoff", "changed", "confirmed_at_s", "control", "record", "tasks")

    def __init__(
        self, record: AgentRecord, control: ControlClient, tasks: TaskTable | None
    ) -> None:
        self.record = record
        self.control = control
        self.tasks = tasks
        self.backoff = Backoff()
        self.changed = tasks.changed if tasks else asyncio.Event()
        self.confirmed_at_s = float("-inf")

    async def run(self) -> None:
        """Announces until cancelled."""
        while True:
            self.changed.clear()
            if await self._announce():
                self.backoff.reset()
                await self._wait(ANNOUNCE_INTERVAL_S)
            else:
                await asyncio.sleep(self.backoff.next_delay_s())

    async def withdraw(self) -> None:
        """Tells the leader that this agent has stopped as planned."""
        message = Withdraw(agent_id=self.record.agent_id, incarnation=self.record.incarnation)
        try:
            await self.control.call(message, WITHDRAW_TIMEOUT_S)
        except ControlUnavailableError:
            log.info("not withdrawn, the leader will miss the announcements")

    async def _announce(self) -> bool:
        loop = asyncio.get_running_loop()
        sent_at_s = loop.time()
        reports = self.tasks.reports() if self.tasks else ()
        try:
            reply = await self.control.call(Announce(agent=self.record, tasks=reports), LEASE_S)
        except ControlUnavailableError as error:
            log.warning("announcement failed", reason=str(error))
            return False
        if not isinstance(reply, AnnounceReply):
            log.warning("announcement refused", reply=reply)
            return False
        self.confirmed_at_s = sent_at_s
        if self.tasks is not None:
            await self.tasks.renew(reports, reply, sent_at_s)
        return True

    async def _wait(self, limit_s: float) -> None:
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while not self.changed.is_set():
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(min(remaining_s, REFRESH_INTERVAL_S)):
                    await self.changed.wait()
            except TimeoutError:
                if self.tasks is not None:
                    await self.tasks.refresh()
