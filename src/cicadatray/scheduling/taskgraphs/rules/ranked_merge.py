"""Sorting in small parts."""

import heapq
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from cicadatray.scheduling.taskgraphs.waiting_work import WaitingWork

# Ranking and sorting so many works takes about a millisecond.
PART_SIZE = 256

Rank = tuple[Any, ...]


def sort_in_parts(
    works: Sequence[WaitingWork], rank: Callable[[WaitingWork], Rank]
) -> Iterator[tuple[Rank, WaitingWork] | None]:
    """Yields each work with its rank in the order of ranks, equals in the order of `works`.

    Yields None after each part of `PART_SIZE` works that was sorted.
    """
    parts = []
    for start in range(0, len(works), PART_SIZE):
        part = works[start : start + PART_SIZE]
        ranked = [(rank(work), start + place, work) for place, work in enumerate(part)]
        ranked.sort(key=_rank_and_place)
        parts.append(ranked)
        yield None
    for work_rank, _, work in heapq.merge(*parts, key=_rank_and_place):
        yield work_rank, work


def _rank_and_place(entry: tuple[Rank, int, WaitingWork]) -> tuple[Rank, int]:
    return entry[:2]
