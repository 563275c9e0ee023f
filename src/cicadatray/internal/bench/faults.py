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
# Each case runs 21 processes; with more cases at once the results would depend on the machine.
PARALLEL_CASES = 3


class FaultsReport(msgspec.Struct):
    """The report that a run prints as its last line."""

    cases: list[CaseReport]
    violations: int


async def run_cases(names: list[str], folder: Path | None) -> FaultsReport:
    """Runs the named cases, at most `PARALLEL_CASES` at a time."""
    concurrency_limit = asyncio.Semaphore(PARALLEL_CASES)

    async def run_one(name: str) -> CaseReport:
        async with concurrency_limit:
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
        case_names = ", ".join(fault_cases)
        sys.exit(f"unknown cases: {', '.join(unknown)}; known: {case_names}")
    report = asyncio.run(run_cases(arguments.cases or list(fault_cases), arguments.keep))
    print(msgspec.json.encode(report).decode())
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    main()
