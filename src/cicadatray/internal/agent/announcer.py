"""Registers the agent with the control leader and renews its lease."""

import asyncio

import msgspec
import structlog

from cicadatray.internal.agent.task_table import TaskTable
from cicadatray.internal.control.leases import ANNOUNCE_INTERVAL_S, LEASE_S
from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.control_client import ControlClient, ControlUnavailableError
from cicadatray.internal.wire.messages.directory_messages import (
    AgentRecord,
    Announce,
    AnnounceReply,
    LeaseRenewed,
    RenewLease,
    TaskReference,
    Withdraw,
)
from cicadatray.internal.wire.messages.task_digest import task_digest

# Interval at which the worker is polled for the states of running tasks.
REFRESH_INTERVAL_S = 0.25
# Interval of full announcements, which report the run times of tasks to the leader.
FULL_ANNOUNCE_INTERVAL_S = 10.0
WITHDRAW_TIMEOUT_S = 2.0

log = structlog.get_logger(__name__)


class Announcer:
    """Announces the agent every `ANNOUNCE_INTERVAL_S`, and at once when something has changed.

    `confirmed_at_s` is the event loop time at which the last answered announcement was sent, from
    which the lease counts. `announced_at_s` is that of the last full announcement.
    """

    __slots__ = (
        "announced_at_s",
        "backoff",
        "changed",
        "confirmed_at_s",
        "control",
        "last_record",
        "last_reply",
        "record",
        "tasks",
    )

    def __init__(
        self, record: AgentRecord, control: ControlClient, tasks: TaskTable | None
    ) -> None:
        self.record = record
        self.control = control
        self.tasks = tasks
        self.backoff = Backoff()
        self.changed = tasks.changed if tasks else asyncio.Event()
        self.confirmed_at_s = float("-inf")
        self.announced_at_s = float("-inf")
        self.last_record: AgentRecord | None = None
        self.last_reply: AnnounceReply | None = None

    async def run(self) -> None:
        """Announces the agent and observes its tasks until cancelled.

        The tasks are observed beside the announcements: their leases expire also while a reply of
        control is late, and the reply must not renew a task that has ended meanwhile.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._announce_repeatedly())
            if self.tasks is not None:
                group.create_task(self._refresh_repeatedly(self.tasks))

    async def _refresh_repeatedly(self, tasks: TaskTable) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            await tasks.refresh()

    async def _announce_repeatedly(self) -> None:
        while True:
            self.changed.clear()
            if await self._announce():
                self.backoff.reset()
                await self._wait_for_change(ANNOUNCE_INTERVAL_S)
            else:
                await asyncio.sleep(self.backoff.next_delay_s())

    async def withdraw(self) -> None:
        """Reports to the leader that this agent has stopped as planned."""
        message = Withdraw(agent_id=self.record.agent_id, incarnation=self.record.incarnation)
        try:
            await self.control.call(message, WITHDRAW_TIMEOUT_S)
        except ControlUnavailableError:
            log.info("withdrawal failed, leader will notice missing announcements")

    async def _announce(self) -> bool:
        sent_at_s = asyncio.get_running_loop().time()
        reports = self.tasks.reports() if self.tasks else ()
        announce = Announce(agent=self.record, tasks=reports)
        try:
            reply = await self._renew_or_announce(announce, sent_at_s)
        except ControlUnavailableError as error:
            log.warning("announcement failed", reason=str(error))
            return False
        if reply is None:
            return False
        self.last_reply = reply
        self.confirmed_at_s = sent_at_s
        if self.tasks is not None:
            await self.tasks.apply_reply(reports, reply, sent_at_s)
        return True

    async def _renew_or_announce(
        self, announce: Announce, sent_at_s: float
    ) -> AnnounceReply | None:
        """Sends a lease renewal while it conveys all that a full announcement would.

        Returns None when the leader refused the announcement.

        Raises:
            ControlUnavailableError: no leader replied in time.
        """
        last = self.last_reply
        is_fresh = sent_at_s < self.announced_at_s + FULL_ANNOUNCE_INTERVAL_S
        if last is not None and is_fresh and self.last_record == announce.agent:
            renewal = RenewLease(
                term=last.term, session=last.session, tasks_digest=task_digest(announce.tasks)
            )
            if isinstance(await self.control.call(renewal, LEASE_S), LeaseRenewed):
                continuing = tuple(TaskReference(t.job_id, t.epoch) for t in announce.tasks)
                return msgspec.structs.replace(last, continuing=continuing)
        reply = await self.control.call(announce, LEASE_S)
        if not isinstance(reply, AnnounceReply):
            log.warning("announcement refused", reply=reply)
            return None
        self.announced_at_s = sent_at_s
        self.last_record = announce.agent
        return reply

    async def _wait_for_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self.changed.wait()
        except TimeoutError:
            return
