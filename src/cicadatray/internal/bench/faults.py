"""Runs fault cases with real processes: `./build.sh faults [CASE ...] [--keep FOLDER]`."""

import argparse
import asyncio
import sys
from pathlib import Path

import msgspec

from cicadatray.internal.bench.fault_runs import cases, combined_cases
from cicadatray.internal.bench.fault_runs.case_registry import fault_cases
from cicadatray.internal.bench.fault_runs.case_report import CaseReport
from cicadatray.internal.bench.fault_runs.case_runner import run_case

CASE_MODULES = (cases, combined_cases)
# Each case has 21 processes on few cores; more at once would measure the machine.
PARALLEL_CASES = 3


class FaultsReport(msgspec.Struct):
    """The last line of a run."""

    cases: list[CaseReport]
    violations: int


async def run_cases(names: list[str], folder: Path | None) -> FaultsReport:
    """Runs the named cases, a few at a time."""
    gate = asyncio.Semaphore(PARALLEL_CASES)

    async def run_one(name: str) -> CaseReport:
        async with gate:
            report = await run_case(name, folder / name if folder else None)
            print(msgspec.json.encode(report).decode(), flush=True)
            return report

    reports = await asyncio.gather(*(run_one(name) for name in names))
    return FaultsReport(list(reports), sum(report.violations() for report in reports))


def main() -> None:
    """Entry point of `./build.sh faults`."""
    parser = argparse.ArgumentParser(prog="faults")
    parser.add_argument("cases", nargs="*", help="names of cases, all when none is given")
    parser.add_argument("--keep", type=Path, help="folder that keeps logs and journals")
    arguments = parser.parse_args()
    unknown = [name for name in arguments.cases if name not in fault_cases]
    if unknown:
        known = ", ".join(fault_cases)
        sys.exit(f"unknown cases: {', '.join(unknown)}; known: {known}")
    report = asyncio.run(run_cases(arguments.cases or list(fault_cases), arguments.keep))
    print(msgspec.json.encode(report).decode())
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    main()
