"""An index of the racks of one data centre by their idle capacity."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from cicadatray.scheduling.unit import Unit


class RackIndex:
    """Groups racks into buckets by their idle capacity and by that of their most idle worker.

    A search skips buckets in which a job cannot fit, so its cost does not grow with the number of
    racks.
    """

    __slots__ = ("bucket_keys", "buckets", "keys")

    def __init__(self) -> None:
        self.buckets: dict[tuple[int, int], dict[str, Unit]] = {}
        self.keys: list[tuple[int, int]] = []
        self.bucket_keys: dict[str, tuple[int, int]] = {}

    def update(self, rack: Unit) -> None:
        """Moves the rack to the bucket of its current idle capacity."""
        position = (rack.idle, rack.max_worker_idle)
        previous = self.bucket_keys.get(rack.key)
        if previous == position:
            return
        if previous is not None:
            self._remove(rack, previous)
        if position not in self.buckets:
            self.buckets[position] = {}
            insort(self.keys, position)
        self.buckets[position][rack.key] = rack
        self.bucket_keys[rack.key] = position

    def remove(self, rack: Unit) -> None:
        """Removes a rack that has no workers left."""
        previous = self.bucket_keys.pop(rack.key, None)
        if previous is not None:
            self._remove(rack, previous)

    def least_idle_first(self, idle: int, max_worker_idle: int) -> Iterator[Unit]:
        """Yields racks with at least this idle capacity, those with the least first."""
        start = bisect_left(self.keys, (idle, 0))
        for key in self.keys[start:]:
            if key[1] >= max_worker_idle:
                yield from self.buckets[key].values()

    def most_idle_first(self, count: int) -> list[Unit]:
        """Returns up to `count` racks, those with the most idle capacity first."""
        racks: list[Unit] = []
        for key in reversed(self.keys):
            racks.extend(self.buckets[key].values())
            if len(racks) >= count:
                break
        return racks[:count]

    def _remove(self, rack: Unit, position: tuple[int, int]) -> None:
        bucket = self.buckets[position]
        del bucket[rack.key]
        if not bucket:
            del self.buckets[position]
            self.keys.pop(bisect_left(self.keys, position))
