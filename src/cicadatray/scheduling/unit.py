"""A node in the tree of data centres, racks and workers."""

from cicadatray.scheduling.shape import Scope


class Unit:
    """A data centre, rack or worker with its counts of accelerators.

    `capacity` counts accelerators in service and `idle` those that may be allocated to any job now.
    `reserved_for_guarantees` counts those that the guarantee plan has committed at this unit or
    below it. `installed`, `allocated`, `claimed`, `lost`, `quarantined`, `evacuated` and
    `reserving_job_id` are set for workers only; `reserving_job_id` identifies the waiting job that
    has reserved a worker.
    """

    __slots__ = (
        "allocated",
        "capacity",
        "children",
        "claimed",
        "evacuated",
        "idle",
        "installed",
        "key",
        "lost",
        "max_worker_idle",
        "order",
        "parent",
        "quarantined",
        "reserved_for_guarantees",
        "reserving_job_id",
        "scope",
    )

    def __init__(self, key: str, scope: Scope, parent: "Unit | None", order: int) -> None:
        self.key = key
        self.scope = scope
        self.parent = parent
        self.order = order
        self.children: dict[str, Unit] = {}
        self.capacity = 0
        self.idle = 0
        self.max_worker_idle = 0
        self.reserved_for_guarantees = 0
        self.installed = 0
        self.allocated = 0
        self.claimed = 0
        self.lost = False
        self.quarantined = False
        self.evacuated = False
        self.reserving_job_id: str | None = None

    @property
    def in_service(self) -> bool:
        """Returns whether gangs may be placed on the worker."""
        return not (self.lost or self.quarantined or self.evacuated)

    @property
    def headroom(self) -> int:
        """Returns the accelerators that the guarantee plan has not committed."""
        return self.capacity - self.reserved_for_guarantees

    @property
    def unallocated(self) -> int:
        """Returns the accelerators in service that no gang holds, also claimed or reserved ones."""
        return max(0, self.installed - self.allocated) if self.in_service else 0

    @property
    def unclaimed(self) -> int:
        """Returns the unallocated accelerators of a worker that no reclaim has claimed."""
        return max(0, self.unallocated - self.claimed)

    def with_ancestors(self) -> "list[Unit]":
        """Returns the unit and all units that contain it, innermost first."""
        units: list[Unit] = []
        unit: Unit | None = self
        while unit is not None:
            units.append(unit)
            unit = unit.parent
        return units

    def workers(self) -> "list[Unit]":
        """Returns the workers of the unit in the order of the inventory."""
        if self.scope is Scope.WORKER:
            return [self]
        if self.scope is Scope.RACK:
            return list(self.children.values())
        return [worker for rack in self.children.values() for worker in rack.children.values()]

    def enclosing(self, scope: Scope) -> "Unit":
        """Returns the unit of `scope` that contains this one."""
        for unit in self.with_ancestors():
            if unit.scope is scope:
                return unit
        raise ValueError(f"{self.key} is not inside a {scope.value}")
