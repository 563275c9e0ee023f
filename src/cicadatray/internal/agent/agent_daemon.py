"""The process of an agent."""

import asyncio
import secrets
from pathlib import Path

import msgspec
import structlog

from cicadatray.internal.agent.agent_description import AgentDescription, describe_attempts
from cicadatray.internal.agent.announcer import Announcer
from cicadatray.internal.agent.attempt_runner import AttemptRunner
from cicadatray.internal.agent.errors import WorkerFailedError
from cicadatray.internal.agent.task_table import TaskTable
from cicadatray.internal.agent.worker_client import WorkerClient
from cicadatray.internal.control.leases import LEASE_S
from cicadatray.internal.observability.state_dump import StateDump
from cicadatray.internal.settings.agent_settings import AgentSettings
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.attempt_messages import CancelAttempt, RunAttempt
from cicadatray.internal.wire.messages.diagnostic_messages import ReadDump, TextReply
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.internal.wire.messages.registry import message_codec
from cicadatray.internal.wire.messages.task_messages import (
    CheckpointTask,
    PrepareTask,
    StartTask,
    StopTask,
)
from cicadatray.internal.wire.rpc_server import RpcServer

INCARNATION_BYTES = 8
UNKNOWN_CALL_CODE = "unknown_call"
WORKER_RETRY_S = 0.5
# Entries poll the directory twice a second, so after this time none of them sends new requests.
WITHDRAWAL_GRACE_S = 1.0
TASK_ORDERS = (PrepareTask, StartTask, CheckpointTask, StopTask)

log = structlog.get_logger(__name__)


class AgentDaemon:
    """Serves the calls of entries and of the control leader until it is stopped."""

    __slots__ = (
        "announcer",
        "attempts",
        "control",
        "dump",
        "incarnation",
        "server",
        "settings",
        "tasks",
    )

    def __init__(self, settings: AgentSettings, secret: bytes) -> None:
        codec = message_codec()
        self.settings = settings
        self.dump = StateDump(Path(settings.dump_folder), settings.name)
        self.dump.register("agent", self.describe)
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.control = ControlClient(settings.control, codec, secret)
        self.attempts: AttemptRunner | None = None
        if settings.endpoint is not None:
            self.attempts = AttemptRunner(settings, settings.endpoint, self.incarnation)
        self.tasks: TaskTable | None = None
        if settings.worker is not None:
            self.tasks = TaskTable(WorkerClient(settings.worker))
        listen = settings.listen
        self.server = RpcServer(listen.host, listen.port, codec, self.answer, secret)
        self.announcer: Announcer | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then drains."""
        await self._clear_worker(stop)
        await self.server.start()
        self.announcer = Announcer(self._record(), self.control, self.tasks)
        announcing = asyncio.create_task(self.announcer.run())
        log.info("agent listening", port=self.server.port, incarnation=self.incarnation)
        await stop.wait()
        await self._drain()
        announcing.cancel()
        await asyncio.gather(announcing, return_exceptions=True)
        await self.announcer.withdraw()
        await self.server.stop()
        await self.control.close()

    async def answer(self, call: MessageStruct) -> MessageStruct:
        """Answers one call of an entry or of the control leader."""
        if self.attempts is not None and isinstance(call, RunAttempt):
            return await self.attempts.run(call)
        if self.attempts is not None and isinstance(call, CancelAttempt):
            return self.attempts.cancel(call)
        if self.tasks is not None and isinstance(call, TASK_ORDERS):
            return await self.tasks.handle(call)
        if isinstance(call, ReadDump):
            return TextReply(text=self.dump.render().decode())
        return Failure(code=UNKNOWN_CALL_CODE, detail=type(call).__name__)

    def abandon(self) -> None:
        """Answers all attempts in progress at once; called on a second stop signal."""
        if self.attempts is not None:
            self.attempts.abandon()

    def describe(self) -> AgentDescription:
        """Returns the state of this agent for a state dump."""
        confirmed_at_s = self.announcer.confirmed_at_s if self.announcer else float("-inf")
        now_s = asyncio.get_running_loop().time()
        return AgentDescription(
            agent_id=self.settings.name,
            incarnation=self.incarnation,
            draining=bool(self.announcer and self.announcer.record.draining),
            lease_left_s=round(max(0.0, confirmed_at_s + LEASE_S - now_s), 3),
            tasks=len(self.tasks.tasks) if self.tasks else 0,
            attempts=describe_attempts(self.attempts) if self.attempts else None,
        )

    async def _drain(self) -> None:
        log.info("draining")
        assert self.announcer is not None
        if self.tasks is not None:
            self.tasks.draining = True
        self.announcer.record = msgspec.structs.replace(self.announcer.record, draining=True)
        self.announcer.changed.set()
        await asyncio.gather(self._finish_attempts(), self._finish_tasks())

    async def _finish_attempts(self) -> None:
        if self.attempts is None:
            return
        self.attempts.limiter.draining = True
        await asyncio.sleep(WITHDRAWAL_GRACE_S)
        await self.attempts.finish()

    async def _finish_tasks(self) -> None:
        """Waits until no task is left, for up to the drain timeout; the leader moves tasks away."""
        deadline_s = asyncio.get_running_loop().time() + self.settings.drain_timeout_s
        while self.tasks is not None and self.tasks.tasks:
            if asyncio.get_running_loop().time() > deadline_s:
                log.warning("drain timed out, tasks still running", tasks=len(self.tasks.tasks))
                return
            await asyncio.sleep(WORKER_RETRY_S)

    async def _clear_worker(self, stop: asyncio.Event) -> None:
        while self.tasks is not None and not stop.is_set():
            try:
                await self.tasks.clear_worker()
                return
            except WorkerFailedError as error:
                log.warning("worker does not answer", reason=str(error))
                await asyncio.sleep(WORKER_RETRY_S)

    def _record(self) -> AgentRecord:
        endpoint = self.settings.endpoint
        worker = self.settings.worker
        return AgentRecord(
            agent_id=self.settings.name,
            incarnation=self.incarnation,
            host=self.settings.listen.host,
            port=self.server.port,
            data_centre=self.settings.data_centre,
            service=endpoint.service if endpoint else "",
            slots=endpoint.slots if endpoint else 0,
            worker_id=worker.worker_id if worker else "",
        )
