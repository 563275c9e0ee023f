"""An agent with the real task table and announcer, and a simulated worker."""

import asyncio
import random

import msgspec

from cicadatray.internal.agent.announcer import Announcer
from cicadatray.internal.agent.task_table import TaskTable
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.backoff import Backoff
from cicadatray.internal.wire.control_client import ControlClient
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.directory_messages import AgentRecord
from cicadatray.internal.wire.messages.registry import message_codec
from cover.control.gangs.link_client import LinkClient
from cover.control.gangs.link_layer import LinkLayer
from cover.control.gangs.simulated_worker import SimulatedWorker
from cover.replication.process_loop import Process

CONTROL_NAMES = ("c1", "c2")
MEMBERS = tuple(ControlMember(name, "127.0.0.1", 1) for name in CONTROL_NAMES)


class SimulatedAgent:
    """Runs one agent; each restart of its process keeps `name` and increments `incarnation`."""

    __slots__ = (
        "announcer",
        "ended",
        "incarnation",
        "layer",
        "name",
        "process",
        "table",
        "task",
        "worker",
    )

    def __init__(self, name: str, worker: SimulatedWorker, layer: LinkLayer) -> None:
        self.name = name
        self.worker = worker
        self.layer = layer
        self.incarnation = 0
        self.ended: list[Process] = []
        self.process = Process()
        self.start()

    @property
    def address(self) -> str:
        """The address of the current process."""
        return f"{self.name}/{self.incarnation}"

    def start(self) -> None:
        """Starts the process of the next incarnation."""
        self.incarnation += 1
        self.process = Process()
        self.table = TaskTable(self.worker)  # type: ignore[arg-type]
        record = AgentRecord(
            self.name,
            str(self.incarnation),
            "127.0.0.1",
            1,
            "d0",
            worker_id=self.worker.worker_id,
        )
        self.announcer = Announcer(record, self._control_client(), self.table)
        self.announcer.backoff = Backoff(random.Random(self.incarnation))
        self.layer.peers[self.address] = self
        loop = asyncio.get_event_loop()
        self.task = loop.create_task(self._run(), context=self.process.context)

    def crash(self) -> None:
        """Ends the process; its worker continues."""
        self.layer.peers.pop(self.address, None)
        self.ended.append(self.process)
        self.process.is_frozen = True

    @property
    def is_running(self) -> bool:
        """Whether the current process has not crashed."""
        return self.address in self.layer.peers

    def drain(self) -> None:
        """Starts to drain, as the daemon does on a stop signal."""
        self.table.draining = True
        self.announcer.record = msgspec.structs.replace(self.announcer.record, draining=True)
        self.announcer.changed.set()

    async def answer(self, call: MessageStruct) -> MessageStruct:
        """Returns the reply to an order of a control leader."""
        return await self.table.handle(call)  # type: ignore[arg-type]

    async def _run(self) -> None:
        await self.table.clear_worker()
        await self.announcer.run()

    def _control_client(self) -> ControlClient:
        client = ControlClient(MEMBERS, message_codec(), b"")
        client.leader_name = CONTROL_NAMES[0]
        client.clients = {
            name: LinkClient(self.layer, self.name, name)  # type: ignore[misc]
            for name in CONTROL_NAMES
        }
        return client
