"""The registry of fault cases."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cicadatray.internal.bench.fault_runs.fault_run import FaultRun

FaultCase = Callable[["FaultRun"], Awaitable[None]]
fault_cases: dict[str, FaultCase] = {}


def fault_case(name: str) -> Callable[[FaultCase], FaultCase]:
    """Registers the decorated coroutine function, which injects faults into a running system."""

    def register(case: FaultCase) -> FaultCase:
        fault_cases[name] = case
        return case

    return register
