"""An exact check that all guarantees can be placed together.

It uses only the inventory, the lost workers and the gangs that run inside a guarantee, not the
scheduler's own accounting. Everything else on a worker in service is idle or lent to a job that
can be checkpointed or stopped, so it counts as available. A guarantee whose owner already runs a
gang in it is satisfied by completing the block around that gang, or by another complete block.

Units nest (worker, rack, data centre), so blocks assigned to units fit if and only if, in every
unit, the blocks assigned to it and to the units inside it need no more than the unit's available
accelerators. The search therefore only assigns blocks to units.
"""

from collections.abc import Set

from cicadatray.internal.bench.measurement.units import unit_of
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.rules import Guarantee
from cicadatray.scheduling.shape import Scope, Shape

Unit = tuple[str, ...]


class GuaranteeCheck:
    """Records which gang uses which guaranteed block; blocks are numbered over all guarantees."""

    __slots__ = ("blocks", "cache", "holders", "inventory", "workers")

    def __init__(self, inventory: Inventory, guarantees: tuple[Guarantee, ...]) -> None:
        self.inventory = inventory
        self.workers: dict[str, WorkerRecord] = {w.worker_id: w for w in inventory.workers}
        self.blocks: list[tuple[str, Shape]] = [
            (guarantee.client_account, guarantee.shape)
            for guarantee in guarantees
            for _ in range(guarantee.count)
        ]
        self.holders: dict[int, tuple[str, Placement]] = {}
        self.cache: dict[tuple[object, ...], bool] = {}

    def free_block(self, account: str, shape: Shape, taken: Set[int]) -> int | None:
        """Returns the smallest block of the account that covers the shape and is not taken."""
        fitting = [
            (block_shape.accelerators, index)
            for index, (owner, block_shape) in enumerate(self.blocks)
            if owner == account
            and index not in taken
            and shape.accelerators <= block_shape.accelerators
            and _is_within(shape.scope, block_shape.scope)
        ]
        return min(fitting)[1] if fitting else None

    def hold(self, block: int, job_id: str, placement: Placement) -> None:
        """Records that a gang runs inside a block."""
        self.holders[block] = (job_id, placement)

    def release(self, job_id: str) -> None:
        """Frees the block of a job's gang, if it holds one."""
        for block, (holder, _) in list(self.holders.items()):
            if holder == job_id:
                del self.holders[block]

    def holds(self, job_id: str) -> bool:
        """Returns whether the gang of a job runs inside a guarantee."""
        return any(holder == job_id for holder, _ in self.holders.values())

    def satisfied(self, lost: Set[str]) -> bool:
        """Returns whether all guarantees can be placed around the gangs that hold theirs."""
        return self._search_cached(lost, self.holders)

    def possible_when_idle(self, lost: Set[str]) -> bool:
        """Returns whether the workers in service could hold all guarantees when nothing runs."""
        return self._search_cached(lost, {})

    def _search_cached(self, lost: Set[str], holders: dict[int, tuple[str, Placement]]) -> bool:
        key = (tuple(sorted(lost)), tuple(sorted((b, p.shares) for b, (_, p) in holders.items())))
        if key not in self.cache:
            self.cache[key] = self._search(lost, {b: p for b, (_, p) in holders.items()})
        return self.cache[key]

    def _search(self, lost: Set[str], holders: dict[int, Placement]) -> bool:
        available = {
            worker.worker_id: 0 if worker.worker_id in lost else worker.accelerators
            for worker in self.inventory.workers
        }
        for placement in holders.values():
            for share in placement.shares:
                if share.worker_id not in lost:
                    available[share.worker_id] -= share.accelerators
        free: dict[Unit, int] = {}
        for worker in self.inventory.workers:
            for scope in Scope:
                unit = unit_of(worker, scope)
                free[unit] = free.get(unit, 0) + available[worker.worker_id]
        order = sorted(
            range(len(self.blocks)), key=lambda block: -self.blocks[block][1].accelerators
        )
        candidates = [self._candidates(block, holders.get(block), lost) for block in order]
        return _assign_blocks(candidates, 0, free)

    def _candidates(
        self, block: int, held: Placement | None, lost: Set[str]
    ) -> list[tuple[Unit, int]]:
        shape = self.blocks[block][1]
        units = {unit_of(worker, shape.scope): None for worker in self.inventory.workers}
        candidates = [(unit, shape.accelerators) for unit in units]
        if held is not None and not any(share.worker_id in lost for share in held.shares):
            current_unit = unit_of(self.workers[held.shares[0].worker_id], shape.scope)
            used = sum(share.accelerators for share in held.shares)
            candidates.insert(0, (current_unit, shape.accelerators - used))
        return candidates


def _is_within(narrow: Scope, wide: Scope) -> bool:
    order = (Scope.WORKER, Scope.RACK, Scope.DATA_CENTRE)
    return order.index(narrow) <= order.index(wide)


def _assign_blocks(
    candidates: list[list[tuple[Unit, int]]], index: int, free: dict[Unit, int]
) -> bool:
    """Assigns the blocks from `index` on by backtracking; returns whether they all fit.

    Each block has candidate units, with the accelerators that it needs there.
    """
    if index == len(candidates):
        return True
    for unit, need in candidates[index]:
        enclosing = [unit[:depth] for depth in range(1, len(unit) + 1)]
        if any(free[wider] < need for wider in enclosing):
            continue
        for wider in enclosing:
            free[wider] -= need
        if _assign_blocks(candidates, index + 1, free):
            return True
        for wider in enclosing:
            free[wider] += need
    return False
