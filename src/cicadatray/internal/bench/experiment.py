"""Entry point of `./build.sh experiment`: compares policies on the same generated loads.

Prints a table for each load and, as its last line, one JSON object.
"""

import cyclopts
import msgspec

from cicadatray.internal.bench.graph_experiment.comparison import (
    PolicyFigures,
    compare,
    format_rows,
)
from cicadatray.internal.bench.graph_experiment.disturbance_draw import draw_disturbances
from cicadatray.internal.bench.graph_experiment.experiment_policy import (
    TOLD_POLICIES,
    make_policy,
    policy_names,
    rules_of,
)
from cicadatray.internal.bench.graph_experiment.fleet_emulator import FleetEmulator
from cicadatray.internal.bench.graph_experiment.job_stream import draw_jobs
from cicadatray.internal.bench.graph_experiment.load_sheet import LoadSheet
from cicadatray.internal.bench.graph_experiment.load_sheets import SHEETS
from cicadatray.internal.bench.graph_experiment.run_result import RunResult

BURSTS = (1.0, 3.0)

app = cyclopts.App()


@app.default
def experiment(
    *,
    seeds: int = 40,
    first_seed: int = 1,
    sheets: tuple[str, ...] = (),
    policies: tuple[str, ...] = (),
) -> None:
    """Plays every policy on every load.

    Parameters
    ----------
    seeds
        How many loads are drawn for each sheet and burst.
    first_seed
        The seed of the first of them.
    sheets
        The names of the load sheets, all by default.
    policies
        The names of the policies, all by default. Gains are those over the first.
    """
    report: dict[str, list[PolicyFigures]] = {}
    for sheet in [SHEETS[name] for name in sheets or SHEETS]:
        for burst in BURSTS:
            results = {
                name: [
                    play(name, sheet, seed, burst) for seed in range(first_seed, first_seed + seeds)
                ]
                for name in policies or policy_names()
            }
            title = f"{sheet.name}, burst x{burst:g}"
            report[title] = compare(results)
            print(format_rows(title, report[title]))
    print(msgspec.json.encode(report).decode())


def play(policy: str, sheet: LoadSheet, seed: int, burst: float) -> RunResult:
    """Plays a policy on one load and returns its result."""
    return FleetEmulator(
        sheet,
        draw_jobs(sheet, seed, burst),
        make_policy(policy),
        draw_disturbances(sheet, seed),
        rules_of(policy),
        policy in TOLD_POLICIES,
    ).run()


if __name__ == "__main__":
    app()
