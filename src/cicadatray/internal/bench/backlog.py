"""Measures what large backlogs cost a leader: `./build.sh backlog [TASKS...] [--shape NAME]`."""

import argparse
import asyncio
import logging
import math
from collections.abc import Sequence

import msgspec
import structlog

from cicadatray.internal.bench.backlog_runs.backlog_run import BacklogResult, play_backlog
from cicadatray.internal.bench.backlog_runs.backlog_shapes import backlog_shapes
from cicadatray.internal.control.garbage_collection import postpone_full_collections

SIZES = (2_000, 20_000, 60_000)


def main() -> None:
    """Prints a JSON line for each shape and size, and one with the slopes of each shape."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tasks", nargs="*", type=int, default=SIZES)
    parser.add_argument("--shape", choices=backlog_shapes, action="append")
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    postpone_full_collections()
    for shape in options.shape or backlog_shapes:
        results = []
        for tasks in options.tasks:
            results.append(asyncio.run(play_backlog(shape, tasks)))
            print(msgspec.json.encode(results[-1]).decode(), flush=True)
        if len(results) > 1:
            slopes = {"shape": shape, "slopes": slopes_of(results)}
            print(msgspec.json.encode(slopes).decode(), flush=True)


def slopes_of(results: Sequence[BacklogResult]) -> dict[str, float]:
    """Returns, by phase, the exponent with which its time grows from the first to the last size."""
    first, last = results[0], results[-1]
    growth = math.log(last.tasks / first.tasks)
    return {
        before.phase: round(math.log(after.total_ms / before.total_ms) / growth, 2)
        for before, after in zip(first.phases, last.phases, strict=True)
        if before.total_ms > 0 and after.total_ms > 0
    }


if __name__ == "__main__":
    main()
