"""A machine of a soak with an agent and its worker."""

import random
from pathlib import Path

from nocover.configuration_soak.machine import Machine
from nocover.configuration_soak.site_shape import SiteShape
from nocover.job_soak.job_ledger import JobLedger
from nocover.job_soak.worker import Worker

WORKER_KINDS = ("a", "b")


class WorkerMachine(Machine):
    """A machine whose worker has one life after the other.

    A loss of power takes the worker too if `shares_power`.
    """

    __slots__ = ("is_removed", "labels", "ledger", "random", "shares_power", "worker")

    def __init__(
        self,
        host: str,
        zone: int,
        folder: Path,
        checkout: Path,
        shape: SiteShape,
        ledger: JobLedger,
        seed: float,
    ) -> None:
        super().__init__(host, f"zone-{zone}", False, ("agent",), folder, checkout, shape)
        self.random = random.Random(seed)
        self.ledger = ledger
        # The last label is the rack.
        kind = WORKER_KINDS[int(host.rpartition(".")[2]) % len(WORKER_KINDS)]
        self.labels = [kind, f"rack-{zone}"]
        self.worker: Worker | None = None
        self.shares_power = True
        self.is_removed = False

    def start(self) -> None:
        # Another disturbance may turn the machine on after it was taken away.
        if not self.is_removed:
            super().start()

    async def start_worker(self) -> None:
        """Starts a new life of the worker, if none is up."""
        if self.is_removed or (self.worker is not None and self.worker.is_up):
            return
        seed = self.random.random()
        worker = self.worker = Worker(self.ledger, self.host, self.zone, self.labels, seed)
        await worker.start()

    def crash_worker(self) -> None:
        """Ends the life of the worker."""
        if self.worker is not None:
            self.worker.crash()

    def lose_power(self, source: random.Random) -> None:
        super().lose_power(source)
        if self.shares_power:
            self.crash_worker()
