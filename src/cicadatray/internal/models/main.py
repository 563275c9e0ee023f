"""Checks every specification and every seeded defect; the entry point of `./build.sh model`."""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import msgspec

from cicadatray.internal.models import specifications
from cicadatray.internal.models.check import check_specification
from cicadatray.internal.models.check_result import CheckResult
from cicadatray.internal.models.registry import SPECIFICATIONS
from cicadatray.internal.models.specification import Specification
from cicadatray.internal.models.trace import render_trace

PROCESSES = 4


def run_check(name: str, defect: str | None) -> CheckResult:
    """Checks one specification by name; runs in a worker process."""
    specifications.load()
    return check_specification(SPECIFICATIONS[name], defect)


def describe(result: CheckResult) -> str:
    """Returns a human-readable line for one run."""
    if result.defect is None:
        if result.holds:
            return f"{result.specification}: holds in all {result.states} states"
        if not result.complete and not result.violated:
            return f"{result.specification}: INCOMPLETE after {result.states} states"
        return f"{result.specification}: VIOLATES {result.violated} in {result.steps} steps"
    subject = f"{result.specification} with {result.defect}"
    if result.violated:
        return f"{subject}: found, {result.violated} violated in {result.steps} steps"
    return f"{subject}: NOT FOUND in {result.states} states"


def summarise(specification: Specification, results: list[CheckResult]) -> dict[str, object]:
    """Returns the results of one specification for the JSON summary."""
    correct = next(result for result in results if result.defect is None)
    seeded = [result for result in results if result.defect is not None]
    return {
        "states": correct.states,
        "bounds": dict(specification.bounds),
        "holds": correct.holds,
        "defects_found": sum(1 for result in seeded if result.violated),
        "defects_seeded": len(seeded),
    }


def run_all() -> bool:
    """Runs all checks in worker processes and prints them; returns whether all are as expected.

    The searches of the correct specifications take longest and are submitted first.
    Results are printed in registry order, so that two runs print the same lines.
    """
    correct = [(name, None) for name in SPECIFICATIONS]
    seeded = [(name, str(d)) for name, spec in SPECIFICATIONS.items() for d in spec.defects]
    with ProcessPoolExecutor(PROCESSES, mp_context=get_context("spawn")) as pool:
        pending = {run: pool.submit(run_check, *run) for run in [*correct, *seeded]}
        results = {run: future.result() for run, future in pending.items()}
    summary: dict[str, object] = {}
    for name, specification in SPECIFICATIONS.items():
        specification_results = [result for run, result in results.items() if run[0] == name]
        for result in specification_results:
            print(describe(result))
        summary[name] = summarise(specification, specification_results)
    print(msgspec.json.encode(summary).decode())
    return all(result.as_expected for result in results.values())


def print_trace(name: str, defect: str) -> bool:
    """Prints the shortest counterexample; returns whether the result is as expected.

    The defect "none" stands for the correct protocol.
    """
    result = run_check(name, None if defect == "none" else defect)
    print(describe(result))
    for line in render_trace(result):
        print(line)
    return result.as_expected


def main() -> None:
    """Parses the arguments and exits with status 1 unless all results are as expected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--trace", nargs=2, metavar=("SPEC", "DEFECT"))
    arguments = parser.parse_args()
    specifications.load()
    succeeded = print_trace(*arguments.trace) if arguments.trace else run_all()
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
