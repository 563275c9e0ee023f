"""A stand-in for one life of a minion, as the users' pages describe it."""

import asyncio
import json
import time

from deployment import HEARTBEAT_S, POOL, call

LEASE_POLL_S = 0.02
MAX_ENDS_LISTED = 500
LONGEST_WAIT_S = 2.0
CHECKPOINT_S = 0.5
RESTORE_S = 0.6


class Run:
    """A run of a task; `worked_s` is what it had worked before this run, by its checkpoint."""

    def __init__(self, task, number, spec, checkpoint):
        self.task = task
        self.number = number
        self.spec = spec
        self.checkpoint = checkpoint
        self.began_s = time.monotonic()
        self.timer = None


class Minion:
    """Starts what it is told to under leases, and lists runs and ends until `crash`.

    `work_s` holds how long a task works by its spec, or a default. `runs_of_all` is shared by all
    minions of a case: the runs of each task that exist now.
    """

    def __init__(
        self, deployment, machine, number, runs_of_all, work_s, labels=("a", "r1"), born=False
    ):
        self.deployment = deployment
        self.record = deployment.record
        self.machine = machine
        self.name = f"minion {number}"
        self.identifier = f"i-{number:08x}"
        self.born_ms = int(time.time() * 1000) if born else 0
        self.runs_of_all = runs_of_all
        self.work_s = work_s
        self.labels = list(labels)
        self.capacity = {"Cpu": 32000, "MemMb": 131072, "Gpus": 8}
        self.began_s = time.monotonic() - 100.0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = self.fence = self.until_ms = self.sequence = 0
        self.stop_s = 0.1
        self.state = "ready"
        self.is_up = False
        self.has_ended = asyncio.Event()
        self.server = None
        self.writers = set()
        self.tasks = []
        self.heartbeat_statuses = []
        self.doubles = []
        self.starts = []

    @property
    def address(self):
        return f"{self.machine.host}:{self.deployment.ports['app']}"

    def clock_ms(self):
        return int(1000 * (time.monotonic() - self.began_s))

    async def start(self, announces=True):
        """Accepts calls, and announces itself."""
        self.is_up = True
        host, port = self.machine.host, self.deployment.ports["app"]
        self.server = await asyncio.start_server(self._serve, host, port)
        self.tasks = [asyncio.create_task(self._lapse())]
        if announces:
            self.announce()
        self.record.write(f"{self.name} {self.identifier} is up at {self.machine.name}")

    def announce(self):
        """Begins to send heartbeats."""
        self.tasks.append(asyncio.create_task(self._send_heartbeats()))

    def crash(self):
        """Ends at once, with everything that runs."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        lost = [f"{run.task} run {run.number}" for run in self.runs.values()]
        for run in list(self.runs.values()):
            self._remove(run)
        self.record.write(f"{self.name} {self.identifier} crashed; lost {lost}")

    def document(self):
        """Returns the next heartbeat."""
        self.sequence += 1
        fields = {
            "Service": POOL,
            "Address": self.address,
            "Zone": self.machine.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
        }
        return {**fields, "born": self.born_ms} if self.born_ms else fields

    async def send_heartbeat(self, document, writer="the minion"):
        """Sends a heartbeat to the agent on the machine; returns the status."""
        address = (self.machine.host, self.deployment.ports["control"])
        path = f"/cicadatray/instances/{self.identifier}"
        status, _ = await call("PUT", address, path, document, timeout_s=1.0)
        self.record.write(f"heartbeat of {self.name} by {writer}: {status}")
        return status

    async def _send_heartbeats(self):
        while True:
            status = await self.send_heartbeat(self.document())
            self.heartbeat_statuses.append(status)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else HEARTBEAT_S / 3)

    async def _lapse(self):
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            if self.clock_ms() > self.until_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        self._remove(run)
        self.end_count += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ends.append([self.end_count, run.task, run.number, how, run.checkpoint])
        self.record.write(f"{self.name}: {run.task} run {run.number} ended {how}")
        self.has_ended.set()
        self.has_ended = asyncio.Event()

    def _remove(self, run):
        if run.timer is not None:
            run.timer.cancel()
        self.runs.pop(run.task, None)
        others = self.runs_of_all.get(run.task, [])
        if (self, run) in others:
            others.remove((self, run))

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                path = head[0].split(" ")[1]
                status, answer = await self._answer(path, fields, json.loads(body or b"{}"))
                content = json.dumps({"ClockMs": self.clock_ms(), **answer}).encode()
                start = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{start}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, path, fields, order):
        if fields.get("expect-instance", self.identifier) != self.identifier:
            return 421, {}
        if order.get("FencingToken", 0) < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = order.get("FencingToken", 0)
        if path.endswith("run-start"):
            return self.begin(order)
        if path.endswith("run-stop"):
            return self._stop(order)
        return await self._hold(order)

    def _extend(self, order):
        longest_ms = self.clock_ms() + self.deployment.bounds["MaxHoldMs"]
        self.until_ms = max(self.until_ms, min(order.get("UntilMs", 0), longest_ms))

    def begin(self, order):
        """Carries out an order to start a run."""
        task, number = order["Task"], order["Run"]
        present = self.runs.get(task)
        is_here = present is not None and present.number == number
        is_old = present is not None or number <= self.highest.get(task, 0)
        if not is_here and not is_old and order["UntilMs"] <= self.clock_ms():
            return 409, {"Reason": "late"}
        self._extend(order)
        if is_here:
            return 200, {}
        if is_old or not self.is_up:
            return 409, {"Reason": "old"}
        run = self.runs[task] = Run(task, number, order["Spec"], order.get("Checkpoint", ""))
        self.starts.append((self.name, task, number, run.began_s))
        others = self.runs_of_all.setdefault(task, [])
        self.record.write(f"{self.name}: {task} run {number} starts")
        for other, other_run in others:
            text = f"{task} runs twice: run {other_run.number} on {other.name}, {number} here"
            self.doubles.append((task, time.monotonic(), text))
            self.record.write(f"{self.name}: {text}")
        others.append((self, run))
        work_s = self.work_s(run.spec) if callable(self.work_s) else self.work_s
        run.timer = asyncio.get_running_loop().call_later(work_s, self._end, run, "done")
        return 200, {}

    def _stop(self, order):
        task, number = order["Task"], order["Run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self.record.write(f"{self.name}: {task} run {run.number} is being stopped")
            if run.timer is not None:
                run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                self.stop_s, self._end, run, "stopped"
            )
        return 200, {}

    async def _hold(self, order):
        self._extend(order)
        seen = order.get("SeenUpto", 0)
        self.ends = [row for row in self.ends if row[0] > seen]
        wait_s = min(order.get("WaitMs", 0) / 1000, LONGEST_WAIT_S)
        if wait_s and not self.ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self.has_ended.wait()
            except TimeoutError:
                pass
        running = [[run.task, run.number, run.checkpoint, 50, 100] for run in self.runs.values()]
        return 200, {"Running": running, "Ended": self.ends[:MAX_ENDS_LISTED]}
