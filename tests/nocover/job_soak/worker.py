"""A stand-in for one life of a worker on the platform's interface."""

import asyncio
import random
import time
from typing import Any

import msgspec

from nocover.configuration_soak.http_caller import HttpCaller
from nocover.configuration_soak.machine import CONTROL
from nocover.job_soak.job_ledger import JobLedger
from nocover.job_soak.run import Run
from nocover.job_soak.worker_faults import WorkerFaults
from nocover.job_soak.worker_listener import NoAnswerError, WorkerListener

CPU, MEMORY_MB, GPUS = 16_000, 32_768, 8
PORT = 8080
HEARTBEAT_S, HEARTBEAT_RETRY_S, HEARTBEAT_TIMEOUT_S = 1.5, 0.25, 1.0
LONGEST_LEASE_MS = 6000
STOP_S = 0.1
LEASE_POLL_S = 0.02
MAX_ENDS_LISTED = 500
FAILURE_S = 0.05


class Worker:
    """Runs what it is told under leases, and lists runs and ends, until `crash`."""

    __slots__ = (
        "agent",
        "began_s",
        "end_count",
        "ended",
        "faults",
        "fence",
        "has_ended",
        "highest",
        "host",
        "identifier",
        "is_draining",
        "is_up",
        "labels",
        "lapses",
        "ledger",
        "listener",
        "random",
        "runs",
        "sequence",
        "tasks",
        "until_ms",
        "zone",
    )

    def __init__(
        self, ledger: JobLedger, host: str, zone: str, labels: list[str], seed: float
    ) -> None:
        self.random = random.Random(seed)
        self.ledger = ledger
        self.identifier = f"i-{self.random.getrandbits(40):010x}"
        self.host = host
        self.zone = zone
        self.labels = labels
        self.faults = WorkerFaults()
        self.began_s = time.monotonic() - self.random.uniform(1.0, 100.0)
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        # Rows of number, task, run, outcome and checkpoint, with the run and the lapses until then.
        self.ended: list[tuple[list[object], Run, int]] = []
        self.end_count = self.fence = self.until_ms = self.sequence = self.lapses = 0
        self.is_draining = False
        self.is_up = False
        self.has_ended = asyncio.Event()
        self.agent = HttpCaller(host, CONTROL, HEARTBEAT_TIMEOUT_S)
        self.listener = WorkerListener(self._handle)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Accepts calls and announces itself."""
        # Two disturbances may start or crash the worker at the same time.
        self.is_up = True
        self.ledger.begin_worker(self)
        await self.listener.listen(self.host, PORT)
        if not self.is_up:
            self.listener.abort()
            return
        self.tasks = [asyncio.create_task(self._announce()), asyncio.create_task(self._lapse())]

    def crash(self) -> None:
        """Ends at once, with everything that runs."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.listener.abort()
        self.agent.close()
        for run in list(self.runs.values()):
            run.cancel_end()
            self.ledger.lose(run)
        # An order that is carried out late must not find them.
        self.runs.clear()
        self.ledger.end_worker(self, [run for _, run, _ in self.ended])

    async def withdraw(self) -> None:
        """Tells the agent that the worker ends."""
        await self.agent.call("DELETE", f"/cicadatray/instances/{self.identifier}")

    def clock_ms(self) -> int:
        """Returns the time of the worker's own clock."""
        return int(1000 * (time.monotonic() - self.began_s))

    def free(self) -> tuple[int, int]:
        """Returns the processors and accelerators that no run takes."""
        steps = [self.ledger.step_of(run) for run in self.runs.values()]
        return CPU - sum(step.cpu for step in steps), GPUS - sum(step.gpus for step in steps)

    def end(self, run: Run, how: str) -> None:
        """Ends a run."""
        if self.runs.get(run.task) is not run:
            return
        run.cancel_end()
        del self.runs[run.task]
        self.end_count += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        row: list[object] = [self.end_count, run.task, run.number, how, ""]
        self.ended.append((row, run, self.lapses))
        self.ledger.end(run, how)
        self.has_ended.set()
        self.has_ended = asyncio.Event()

    async def _announce(self) -> None:
        while True:
            status = 0
            if time.monotonic() > self.faults.mute_until_s:
                self.sequence += 1
                body = msgspec.json.encode(self._announcement())
                path = f"/cicadatray/instances/{self.identifier}"
                status = (await self.agent.call("PUT", path, body)).status
            await asyncio.sleep(HEARTBEAT_S if status == 200 else HEARTBEAT_RETRY_S)

    def _announcement(self) -> dict[str, Any]:
        return {
            "Service": "pool",
            "Address": f"{self.host}:{PORT}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.is_draining else "ready",
            "RemainingMs": 2000 if self.is_draining else 0,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": CPU, "MemMb": MEMORY_MB, "Gpus": GPUS},
            "Labels": self.labels,
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
        }

    async def _lapse(self) -> None:
        has_lease = False
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            had_lease, has_lease = has_lease, self.clock_ms() <= self.until_ms
            if had_lease and not has_lease:
                self.lapses += 1
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    async def _handle(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        await self._pass_mute()
        if headers.get("expect-instance", self.identifier) != self.identifier:
            return self._answer(421)
        order = msgspec.json.decode(body) if body else {}
        name = path.rpartition("/")[2]
        is_late = time.monotonic() < self.faults.late_orders_until_s and name != "hold"
        if is_late:
            await asyncio.sleep(self.random.uniform(0.5, 4.0))
        if order.get("FencingToken", 0) < self.fence:
            return self._answer(409, Reason="fence")
        self.fence = order.get("FencingToken", 0)
        if name == "hold":
            self._extend(order)
            answer = await self._list(order)
        else:
            answer = self._start(order) if name == "run-start" else self._stop(order)
        if is_late:
            raise NoAnswerError
        if time.monotonic() < self.faults.late_until_s:
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await self._pass_mute()
        return answer

    async def _pass_mute(self) -> None:
        silent_s = self.faults.mute_until_s - time.monotonic()
        if silent_s > 0:
            await asyncio.sleep(silent_s)
            raise NoAnswerError

    def _answer(self, status: int, **fields: object) -> tuple[int, bytes]:
        return status, msgspec.json.encode({"ClockMs": self.clock_ms(), **fields})

    def _extend(self, order: dict[str, Any]) -> None:
        longest_ms = self.clock_ms() + LONGEST_LEASE_MS
        self.until_ms = max(self.until_ms, min(order.get("UntilMs", 0), longest_ms))

    def _start(self, order: dict[str, Any]) -> tuple[int, bytes]:
        task, number = order["Task"], order["Run"]
        present = self.runs.get(task)
        is_here = present is not None and present.number == number
        is_old = present is not None or number <= self.highest.get(task, 0)
        if not is_here and not is_old and order["UntilMs"] <= self.clock_ms():
            return self._answer(409, Reason="late")
        self._extend(order)
        if is_here:
            return self._answer(200)
        if is_old or not self.is_up:
            return self._answer(409, Reason="old")
        run = self.runs[task] = Run(self, task, number)
        self.ledger.begin(run)
        if time.monotonic() < self.faults.broken_until_s:
            run.end_after(FAILURE_S, "failed")
        return self._answer(200)

    def _stop(self, order: dict[str, Any]) -> tuple[int, bytes]:
        task, number = order["Task"], order["Run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.end_after(STOP_S, "stopped")
        return self._answer(200)

    async def _list(self, order: dict[str, Any]) -> tuple[int, bytes]:
        kept = []
        for row, run, lapses in self.ended:
            if int(str(row[0])) <= order.get("SeenUpto", 0):
                self.ledger.note_end(run, row[3] == "done" and lapses == self.lapses)
            else:
                kept.append((row, run, lapses))
        self.ended = kept
        if not kept and order.get("WaitMs"):
            try:
                async with asyncio.timeout(order["WaitMs"] / 1000):
                    await self.has_ended.wait()
            except TimeoutError:
                pass
        running = [run.row() for run in self.runs.values()]
        ended = [row for row, _, _ in self.ended[:MAX_ENDS_LISTED]]
        return self._answer(200, Running=running, Ended=ended)
