"""An exhaustive check of guarantees that shares no code with the scheduler."""

from functools import cache
from itertools import product

from cicadatray.scheduling.guarantee_block import GuaranteeBlock
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.placement import Placement
from cicadatray.scheduling.shape import Scope


def unit_of(worker: WorkerRecord, scope: Scope) -> tuple[str, ...]:
    """Returns a key of the unit of a scope that contains a worker."""
    if scope is Scope.WORKER:
        return (worker.worker_id,)
    if scope is Scope.RACK:
        return (worker.data_centre, worker.rack)
    return (worker.data_centre,)


def spans_one_unit(inventory: Inventory, placement: Placement, scope: Scope) -> bool:
    """Returns whether all shares are in one unit of the scope."""
    records = {worker.worker_id: worker for worker in inventory.workers}
    return len({unit_of(records[s.worker_id], scope) for s in placement.shares}) == 1


def can_place_all(
    inventory: Inventory,
    lost: set[str],
    blocks: list[GuaranteeBlock],
    inside: dict[GuaranteeBlock, list[Placement]],
) -> bool:
    """Returns whether all blocks fit together, by trying every assignment of accelerators.

    Jobs that run inside a block stay in place; all other capacity counts as reclaimable.
    """
    workers = [worker for worker in inventory.workers if worker.worker_id not in lost]
    position = {worker.worker_id: index for index, worker in enumerate(workers)}
    free = [worker.accelerators for worker in workers]
    remainders = []
    for block in blocks:
        held = [share for placement in inside.get(block, []) for share in placement.shares]
        for share in held:
            if share.worker_id not in position:
                return False
            free[position[share.worker_id]] -= share.accelerators
        units = {unit_of(workers[position[s.worker_id]], block.shape.scope) for s in held}
        remainder = block.shape.accelerators - sum(share.accelerators for share in held)
        remainders.append((block.shape.scope, remainder, units))
    remainders.sort(key=lambda remainder: -remainder[1])

    @cache
    def place(index: int, left: tuple[int, ...]) -> bool:
        if min(left, default=0) < 0:
            return False
        if index == len(remainders):
            return True
        scope, remainder, units = remainders[index]
        groups: dict[tuple[str, ...], list[int]] = {}
        for i, worker in enumerate(workers):
            groups.setdefault(unit_of(worker, scope), []).append(i)
        for unit, members in groups.items():
            if units and units != {unit}:
                continue
            for amounts in product(*(range(min(remainder, left[i]) + 1) for i in members)):
                if sum(amounts) != remainder:
                    continue
                remaining = list(left)
                for i, amount in zip(members, amounts, strict=True):
                    remaining[i] -= amount
                if place(index + 1, tuple(remaining)):
                    return True
        return False

    return place(0, tuple(free))
