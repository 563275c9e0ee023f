"""Compares policies over the same seeds."""

import math
from statistics import mean, stdev

import msgspec

from cicadatray.internal.bench.graph_experiment.load_sheets import QUOTE
from cicadatray.internal.bench.graph_experiment.run_result import RunResult

URGENT_KIND = QUOTE.name


class PolicyFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Means over all seeds; `longest_urgent_wait_s` is the maximum.

    `gain` is the mean difference in `worth` from the first policy, seed by seed. `gain_error` is
    its standard error: a gain below twice this may be due to chance. `late` and `lost` are numbers
    of jobs, `thrown_away` and `displaced`, a part of it, are in core-seconds. `worst_account` is
    the share of its offered worth that the worst-served account of each run earns.
    """

    policy: str
    worth: float
    gain: float
    gain_error: float
    thrown_away: float
    late: float
    lost: float
    longest_urgent_wait_s: float
    urgent_late: float
    displaced: float
    worst_account: float


def compare(results: dict[str, list[RunResult]]) -> list[PolicyFigures]:
    """Returns one row for each policy; the runs of all policies are in the order of the seeds."""
    first_worths = [result.worth() for result in next(iter(results.values()))]
    rows = []
    for policy, runs in results.items():
        worths = [result.worth() for result in runs]
        gains = [own - other for own, other in zip(worths, first_worths, strict=True)]
        error = stdev(gains) / math.sqrt(len(gains)) if len(gains) > 1 else math.inf
        waits = [wait for result in runs for wait in result.urgent_waits_s]
        rows.append(
            PolicyFigures(
                policy=policy,
                worth=mean(worths),
                gain=mean(gains),
                gain_error=error,
                thrown_away=mean(result.thrown_away for result in runs),
                late=mean(result.late for result in runs),
                lost=mean(result.lost for result in runs),
                longest_urgent_wait_s=max(waits, default=0.0),
                urgent_late=mean(result.late_by[URGENT_KIND] for result in runs),
                displaced=mean(result.displaced_work() for result in runs),
                worst_account=mean(result.worst_account_share() for result in runs),
            )
        )
    return rows


def format_rows(title: str, rows: list[PolicyFigures]) -> str:
    """Returns the rows as a readable table."""
    lines = [
        f"{title:<24}  worth   gain  +/-    thrown away  displaced   late  urgent late   lost"
        "  worst account  longest urgent wait s",
    ]
    for row in rows:
        lines.append(
            f"  {row.policy:<22} {row.worth:6.3f} {row.gain:+6.3f} {row.gain_error:5.3f}"
            f" {row.thrown_away:13.0f} {row.displaced:10.0f} {row.late:6.2f}"
            f" {row.urgent_late:12.2f} {row.lost:6.2f} {row.worst_account:14.3f}"
            f" {row.longest_urgent_wait_s:10.2f}"
        )
    return "\n".join(lines)
