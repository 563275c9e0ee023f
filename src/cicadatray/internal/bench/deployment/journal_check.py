"""Checks of the journals that the stand-in endpoints and workers write."""

from collections import Counter
from pathlib import Path

import msgspec

from cicadatray.internal.standins.journal import JournalEvent, read_journal

# The starts of a gang reach its workers one after the other; a larger spread is a partial gang.
START_SPREAD_LIMIT_S = 2.5
# A partial gang must end within the lease of 6 s and its drift margin of 0.6 s.
PARTIAL_RUN_LIMIT_S = 6.6


class EndpointFindings(msgspec.Struct, frozen=True):
    """Executions by subject, and how often an endpoint had more requests than slots."""

    executions: dict[str, int]
    slots_exceeded: int


def check_endpoints(paths: list[Path]) -> EndpointFindings:
    """Counts executions by subject and exceeded slots over all endpoints."""
    events = [event for path in paths for event in read_journal(path)]
    started = Counter(event.subject for event in events if event.event == "started")
    exceeded = sum(1 for event in events if event.event == "slots_exceeded")
    return EndpointFindings(dict(started), exceeded)


def read_worker_events(paths: list[Path]) -> list[JournalEvent]:
    """Returns the events of all workers in order of time."""
    events = [event for path in paths for event in read_journal(path)]
    return sorted(events, key=lambda event: event.at_s)


def count_partial_gangs(events: list[JournalEvent], sizes: dict[str, int]) -> int:
    """Counts runs of jobs that were incomplete for too long or ran on too many accelerators.

    `sizes` gives the number of accelerators of each job.
    """
    gangs: dict[tuple[str, int], list[JournalEvent]] = {}
    for event in events:
        gangs.setdefault((event.subject, event.epoch), []).append(event)
    return sum(1 for (job, _), run in gangs.items() if _is_partial(run, sizes.get(job, 0)))


def _is_partial(run: list[JournalEvent], size: int) -> bool:
    started = [event for event in run if event.event == "started"]
    if not started:
        return False
    accelerators = sum(event.count for event in started)
    if accelerators > size:
        return True
    first_s = started[0].at_s
    if accelerators == size:
        return started[-1].at_s - first_s > START_SPREAD_LIMIT_S
    ended = [event for event in run if event.event not in ("started", "checkpointed")]
    return len(ended) < len(started) or ended[-1].at_s - first_s > PARTIAL_RUN_LIMIT_S


def count_double_grants(events: list[JournalEvent], accelerators: int) -> int:
    """Counts task starts after which a worker used more accelerators than it has."""
    running: Counter[str] = Counter()
    exceeded = 0
    for event in events:
        if event.event == "started":
            running[event.source] += event.count
            exceeded += running[event.source] > accelerators
        elif event.event != "checkpointed":
            running[event.source] -= event.count
    return exceeded
