"""Urgent jobs and the guaranteed blocks they claim."""

from collections.abc import Set

from cicadatray.internal.bench.measurement.fake_fleet import LEASE_BOUND_S
from cicadatray.internal.bench.measurement.guarantee_check import GuaranteeCheck
from cicadatray.internal.bench.measurement.job_record import JobRecord
from cicadatray.scheduling.inventory import Inventory
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rules import Guarantee


class Claims:
    """Assigns each urgent job a free block of its account, at submission or else when placed.

    A claim without a block at submission exceeds the guarantee and has no reclaim target. When a
    block becomes free, it is assigned to the oldest open urgent job without one, so that a later
    claim of the account exceeds the guarantee again.
    """

    __slots__ = ("guarantee_check", "last_loss_s", "measured", "open_claims", "without_block")

    def __init__(self, inventory: Inventory, guarantees: tuple[Guarantee, ...]) -> None:
        self.guarantee_check = GuaranteeCheck(inventory, guarantees)
        self.open_claims: dict[int, JobRecord] = {}
        self.measured: list[JobRecord] = []
        self.without_block: list[JobRecord] = []
        self.last_loss_s = -LEASE_BOUND_S

    def on_submitted(self, record: JobRecord, unusable: Set[str], now_s: float) -> None:
        """Claims a block for a new urgent job, if its account has one left.

        `unusable` are the workers that cannot serve a guarantee: they are lost or fail tasks.
        """
        if not self._claim(record):
            self.without_block.append(record)
            return
        self.measured.append(record)
        recent_loss = now_s - self.last_loss_s < LEASE_BOUND_S
        record.disturbed = recent_loss or not self.guarantee_check.satisfied(unusable)

    def on_placed(self, record: JobRecord, placement: Placement) -> None:
        """Records the gang that runs inside the block."""
        if not record.plan.request.urgent:
            return
        if record.claimed_block is not None:
            self.guarantee_check.hold(record.claimed_block, record.plan.request.job_id, placement)

    def on_ended(self, record: JobRecord) -> None:
        """Frees the claim of a job that has ended."""
        if record.claimed_block is not None:
            self.open_claims.pop(record.claimed_block, None)
            record.claimed_block = None
        if record in self.without_block:
            self.without_block.remove(record)
        self.without_block = [other for other in self.without_block if not self._claim(other)]

    def on_worker_lost(self, now_s: float) -> None:
        """Records the loss of a worker, whose capacity may still be under lease for a while."""
        self.last_loss_s = now_s
        self.disturb()

    def disturb(self) -> None:
        """Excludes the claims that have not started yet from the reclaim time."""
        for record in self.open_claims.values():
            if record.started_s is None:
                record.disturbed = True

    def _claim(self, record: JobRecord) -> bool:
        request = record.plan.request
        block = self.guarantee_check.free_block(
            request.client_account, request.shape, self.open_claims.keys()
        )
        if block is None:
            return False
        record.claimed_block = block
        self.open_claims[block] = record
        return True
