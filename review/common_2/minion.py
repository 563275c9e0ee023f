"""A stand-in for a minion, one life of which starts with `start` and ends with `crash`.

It follows the page on running tasks: leases on its own steady clock, a fencing token, runs that
are never started twice in one life, and ends that are listed until they are taken note of.
"""

import asyncio
import json
import random
import time
from typing import Any

from common_2.http_call import call, read_request
from common_2.record import Record

PORT = 8080
TICK_S = 0.01
HEARTBEAT_S = 1.5
HEARTBEAT_RETRY_S = 0.25
MAX_ENDS_LISTED = 500


class Run:
    """One run of a task; times are those of the record, work is counted on the minion's clock."""

    def __init__(self, minion: "Minion", task: str, number: int, started_s: float) -> None:
        self.minion = minion
        self.task = task
        self.number = number
        self.started_s = started_s
        self.ended_s: float | None = None
        self.how = ""
        self.worked_s = 0.0
        self.begun_clock_s = 0.0
        self.stops_at_s: float | None = None
        self.noted_s: float | None = None
        # Whether the minion's lease lapsed between the end of the run and the note of it.
        self.has_lapsed = False
        self.lapses_at_end = 0


class Minion:
    """Runs tasks that take `work_s` each."""

    def __init__(
        self,
        record: Record,
        runs: list[Run],
        machine: str,
        zone: str,
        service: str,
        control: str,
        work_s: float,
        capacity: dict[str, int],
        labels: list[str],
        longest_lease_s: float,
        stop_s: float,
        tells_born: bool = False,
    ) -> None:
        self.tells_born = tells_born
        self.record = record
        self.all_runs = runs
        self.machine = machine
        self.zone = zone
        self.service = service
        self.control = control
        self.work_s = work_s
        self.capacity = capacity
        self.labels = labels
        self.longest_lease_s = longest_lease_s
        self.stop_s = stop_s
        self.identifier = ""
        self.is_up = False
        self.is_suspended = False
        self.tasks: list[asyncio.Task[None]] = []
        # How often each status answered a heartbeat.
        self.answers: dict[int, int] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins a life."""
        self.identifier = f"i-{random.getrandbits(40):010x}"
        self.born_ms = int(time.time() * 1000)
        self.is_up = True
        self.is_suspended = False
        # The steady clock advances with the ticks, and not while the machine is suspended.
        self.clock_s = random.uniform(100.0, 1000.0)
        self.ticked_s = time.monotonic()
        self.fence = 0
        self.until_s = 0.0
        self.lapses = 0
        self.has_lease = False
        self.sequence = 0
        self.end_count = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[tuple[int, Run]] = []
        self.server = await asyncio.start_server(self._serve, self.machine, PORT)
        self.tasks = [asyncio.create_task(self._tick()), asyncio.create_task(self._announce())]
        self.record.write(f"minion {self.identifier} starts on {self.machine}")

    def crash(self) -> None:
        """Ends at once, with everything that runs."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for run in list(self.running.values()):
            self._close(run, "crashed")
        self.record.write(f"minion {self.identifier} crashes on {self.machine}")

    def suspend(self) -> None:
        """Stands still, as on a machine that is suspended."""
        self._advance()
        self.is_suspended = True
        self.record.write(f"minion {self.identifier} is suspended with {self.machine}")

    def resume(self) -> None:
        """Goes on; the steady clock has not counted the time since `suspend`."""
        self.ticked_s = time.monotonic()
        self.is_suspended = False
        self.record.write(f"minion {self.identifier} goes on with {self.machine}")

    def _advance(self) -> None:
        """Advances the clock, unless the machine is suspended."""
        now_s = time.monotonic()
        if not self.is_suspended:
            self.clock_s += now_s - self.ticked_s
        self.ticked_s = now_s

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self.is_suspended:
                continue
            self._advance()
            self._note_lapse()
            for run in list(self.running.values()):
                run.worked_s = self.clock_s - run.begun_clock_s
                if run.stops_at_s is not None and self.clock_s >= run.stops_at_s:
                    self._end(run, "stopped")
                elif self.clock_s >= self.until_s:
                    self._end(run, "lapsed")
                elif run.stops_at_s is None and run.worked_s >= self.work_s:
                    self._end(run, "done")

    def _note_lapse(self) -> None:
        had_lease, self.has_lease = self.has_lease, self.clock_s < self.until_s
        if had_lease and not self.has_lease:
            self.lapses += 1
            self.record.write(f"the lease of {self.identifier} lapses")

    def _close(self, run: Run, how: str) -> None:
        run.how = how
        run.ended_s = self.record.now_s()
        self.running.pop(run.task, None)
        self.record.write(f"run {run.task} {run.number} on {self.identifier} ends {how}")

    def _end(self, run: Run, how: str) -> None:
        self._close(run, how)
        run.lapses_at_end = self.lapses
        self.end_count += 1
        self.ended.append((self.end_count, run))

    async def _announce(self) -> None:
        wait_s = 0.0
        while True:
            due_s = self.clock_s + wait_s
            while self.clock_s < due_s or self.is_suspended:
                await asyncio.sleep(TICK_S)
            self.sequence += 1
            status, _ = await call(
                self.control, "PUT", self.path(), self.announcement(), timeout_s=1.0
            )
            self.answers[status] = self.answers.get(status, 0) + 1
            wait_s = HEARTBEAT_S if status == 200 else HEARTBEAT_RETRY_S

    def path(self) -> str:
        """Returns the path of the heartbeats."""
        return f"/cicadatray/instances/{self.identifier}"

    def announcement(self) -> dict[str, Any]:
        """Returns the body of a heartbeat."""
        return {
            **self._born(),
            "Service": self.service,
            "Address": f"{self.machine}:{PORT}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": int(self.clock_s * 1000),
            "Seq": self.sequence,
        }

    def _born(self) -> dict[str, Any]:
        return {"born": self.born_ms} if self.tells_born else {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_request(reader)
                await self._pass_suspension()
                status, answer = await self._handle(line.split(" ")[1], headers, json.loads(body))
                await self._pass_suspension()
                content = json.dumps({"ClockMs": int(self.clock_s * 1000), **answer}).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # asyncio logs a cancelled connection callback as an error
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _pass_suspension(self) -> None:
        while self.is_suspended:
            await asyncio.sleep(TICK_S)
        self._advance()

    async def _handle(
        self, path: str, headers: dict[str, str], order: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if headers.get("expect-instance", self.identifier) != self.identifier:
            return 421, {}
        token = order.get("FencingToken", 0)
        if token < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = token
        name = path.rpartition("/")[2]
        if name == "run-start":
            return self._start_run(order)
        if name == "run-stop":
            return self._stop_run(order)
        if name == "hold":
            return await self._hold(order)
        return 400, {}

    def _extend(self, order: dict[str, Any]) -> None:
        end_s = min(order.get("UntilMs", 0) / 1000, self.clock_s + self.longest_lease_s)
        self.until_s = max(self.until_s, end_s)

    def _start_run(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = order["Task"], order["Run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(order)
            return 200, {}
        if present is not None or number <= self.highest.get(task, 0):
            self._extend(order)
            return 409, {"Reason": "old"}
        if order["UntilMs"] / 1000 <= self.clock_s:
            return 409, {"Reason": "late"}
        self._extend(order)
        self.highest[task] = number
        run = Run(self, task, number, self.record.now_s())
        run.begun_clock_s = self.clock_s
        self.running[task] = run
        self.all_runs.append(run)
        self.record.write(f"run {task} {number} starts on {self.identifier}")
        return 200, {}

    def _stop_run(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = order["Task"], order["Run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stops_at_s is None:
            run.stops_at_s = self.clock_s + self.stop_s
            self.record.write(f"run {task} {run.number} on {self.identifier} is told to stop")
        return 200, {}

    async def _hold(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._note_lapse()
        self._extend(order)
        seen = order.get("SeenUpto", 0)
        for number, run in self.ended:
            if number <= seen and run.noted_s is None:
                self._note_lapse()
                run.noted_s = self.record.now_s()
                run.has_lapsed = run.lapses_at_end != self.lapses
        self.ended = [entry for entry in self.ended if entry[0] > seen]
        deadline_s = self.clock_s + min(order.get("WaitMs", 0), 2000) / 1000
        while not self.ended and self.clock_s < deadline_s:
            await asyncio.sleep(TICK_S)
            await self._pass_suspension()
        running = [
            [run.task, run.number, "", int(min(100, 100 * run.worked_s / self.work_s)), 0]
            for run in self.running.values()
        ]
        ended = [[number, run.task, run.number, run.how, ""] for number, run in self.ended]
        return 200, {**self._born(), "Running": running, "Ended": ended[:MAX_ENDS_LISTED]}


def find_overlaps(runs: list[Run], end_s: float) -> list[tuple[Run, Run, float]]:
    """Returns the pairs of runs of one task that were there at the same time, and for how long."""
    overlaps = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for same in by_task.values():
        for position, first in enumerate(same):
            for second in same[position + 1 :]:
                begin_s = max(first.started_s, second.started_s)
                last_s = min(first.ended_s or end_s, second.ended_s or end_s)
                if last_s > begin_s:
                    overlaps.append((first, second, last_s - begin_s))
    return overlaps


def find_repeated(runs: list[Run]) -> list[tuple[Run, Run]]:
    """Returns the runs that ended `done`, were taken note of and have a later start of their task.

    Those are left out between whose end and its note the lease of the minion lapsed.
    """
    repeated = []
    for first in runs:
        if first.how != "done" or first.noted_s is None or first.has_lapsed:
            continue
        for second in runs:
            if second.task == first.task and second.started_s > (first.ended_s or 0.0):
                repeated.append((first, second))
    return repeated
