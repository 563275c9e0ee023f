"""A stand-in for one life of a minion, which follows PROTOCOL.md ("Running tasks")."""

import asyncio
import json
import time

from http_io import HttpListener, call
from record import Record

MAX_ENDS_LISTED = 500


class Run:
    """One run; `work_s` is 0 for a task that lasts."""

    def __init__(self, task: str, number: int, work_s: float) -> None:
        self.task = task
        self.number = number
        self.work_s = work_s
        self.started_s = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False

    def row(self) -> list[object]:
        worked_s = time.monotonic() - self.started_s
        percent = 100 if not self.work_s else min(99, int(100 * worked_s / self.work_s))
        return [self.task, self.number, "", percent, 100]


class Minion:
    """A sound minion: it runs what it is told, under leases, and lists runs and ends.

    A task's `Spec` is `work=SECONDS` at its beginning; 0 means that the task lasts.
    """

    def __init__(
        self,
        record: Record,
        identifier: str,
        host: str,
        port: int,
        agent: tuple[str, int],
        zone: str,
        service: str,
        labels: list[str],
        max_hold_ms: int = 6000,
        stop_ms: int = 200,
        heartbeat_ms: int = 1500,
        capacity: dict[str, int] | None = None,
        has_born: bool = False,
    ) -> None:
        self.record = record
        self.id = identifier
        self.host = host
        self.port = port
        self.agent = agent
        self.zone = zone
        self.service = service
        self.labels = labels
        self.max_hold_ms = max_hold_ms
        self.stop_s = stop_ms / 2000
        self.heartbeat_s = heartbeat_ms / 1000
        self.capacity = capacity or {"Cpu": 64000, "MemMb": 131072, "Gpus": 8}
        self.born_s = time.monotonic() - 100.0
        # Where a deployment's pages name the field `born`.
        self.born = {"born": int(time.time() * 1000)} if has_born else {}
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[object]] = []
        self.end_count = 0
        self.fence = 0
        self.seen_up_to = 0
        self.until_ms = 0
        self.sequence = 0
        self.ended_event = asyncio.Event()
        self.listener = HttpListener(self._handle)
        self.tasks: list[asyncio.Task[None]] = []
        self.is_up = False

    async def start(self) -> None:
        await self.listener.start(self.host, self.port)
        self.is_up = True
        self.record.add("minion up", id=self.id, address=f"{self.host}:{self.port}")
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._expire())]

    def crash(self) -> None:
        """Ends the minion and all its runs at once; its address refuses connections."""
        self.is_up = False
        self.record.add("minion crash", id=self.id, running=len(self.runs))
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
        self.runs.clear()
        self.listener.close()

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.born_s) * 1000)

    def heartbeat(self) -> dict[str, object]:
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
            **self.born,
        }

    async def _beat(self) -> None:
        while True:
            path = f"/cicadatray/instances/{self.id}"
            status, _ = await call("PUT", *self.agent, path, self.heartbeat(), timeout_s=1.0)
            if status != 200:
                self.record.add("heartbeat", id=self.id, status=status)
            # A heartbeat without acknowledgement goes to the next daemon, here the same one.
            await asyncio.sleep(self.heartbeat_s if status == 200 else 0.25)

    async def _expire(self) -> None:
        has_lapsed = True
        while True:
            await asyncio.sleep(0.02)
            is_over = self.clock_ms() > self.until_ms
            if is_over and not has_lapsed:
                self.record.add("lease lapse", minion=self.id)
            has_lapsed = is_over
            if self.runs and is_over:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.end_count += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.record.add(
            "end", minion=self.id, task=run.task, run=run.number, how=how, n=self.end_count
        )
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock_ms()}
        call_name = path.rpartition("/")[2]
        if method == "GET":
            return 200, None
        document = json.loads(body)
        token = document.get("FencingToken", 0)
        if token < self.fence:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.fence = token
        if call_name == "run-start":
            return self._start_run(document)
        if call_name == "run-stop":
            return self._stop_run(document)
        return await self._hold(document)

    def _extend(self, document: dict[str, object]) -> None:
        until_ms = min(int(document.get("UntilMs", 0)), self.clock_ms() + self.max_hold_ms)
        self.until_ms = max(self.until_ms, until_ms)

    def _start_run(self, document: dict[str, object]) -> tuple[int, object]:
        task, number = str(document["Task"]), int(document["Run"])
        present = self.runs.get(task)
        reason = ""
        if present is not None and present.number == number:
            self._extend(document)
            return 200, {"ClockMs": self.clock_ms()}
        if number <= self.highest.get(task, 0) or present is not None:
            self._extend(document)
            reason = "old"
        elif int(document["UntilMs"]) <= self.clock_ms():
            reason = "late"
        if reason:
            self.record.add("start refused", minion=self.id, task=task, run=number, reason=reason)
            return 409, {"ClockMs": self.clock_ms(), "Reason": reason}
        self._extend(document)
        work_s = float(str(document["Spec"]).partition(";")[0].removeprefix("work="))
        run = Run(task, number, work_s)
        if work_s:
            run.timer = asyncio.get_running_loop().call_later(work_s, self._end, run, "done")
        self.runs[task] = run
        self.record.add("start", minion=self.id, task=task, run=number, fence=self.fence)
        return 200, {"ClockMs": self.clock_ms()}

    def _stop_run(self, document: dict[str, object]) -> tuple[int, object]:
        task, number = str(document["Task"]), int(document["Run"])
        self.record.add("stop order", minion=self.id, task=task, run=number)
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(self.stop_s, self._end, run, "stopped")
        return 200, {"ClockMs": self.clock_ms()}

    async def _hold(self, document: dict[str, object]) -> tuple[int, object]:
        self._extend(document)
        seen = int(document.get("SeenUpto", 0))
        if seen > self.seen_up_to:
            self.seen_up_to = seen
            self.record.add("seen up to", minion=self.id, n=seen)
            self.ended = [row for row in self.ended if int(row[0]) > seen]
        wait_s = int(document.get("WaitMs", 0)) / 1000
        if wait_s and not self.ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self.ended_event.wait()
            except TimeoutError:
                pass
        return 200, {
            **self.born,
            "ClockMs": self.clock_ms(),
            "Running": [run.row() for run in self.runs.values()],
            "Ended": self.ended[:MAX_ENDS_LISTED],
        }
