"""Measures the slopes on which docs/CAPACITY.md is based: `./build.sh capacity`."""

import asyncio

import msgspec

from cicadatray.internal.bench.capacity_runs.control_slopes import ControlSlopes, measure_control
from cicadatray.internal.bench.capacity_runs.request_slopes import RequestSlopes, measure_requests
from cicadatray.internal.bench.capacity_runs.state_slopes import StateSlopes, measure_state
from cicadatray.internal.bench.capacity_runs.wire_costs import WireCosts, measure_wire


class CapacityReport(msgspec.Struct, frozen=True):
    """The report that a run prints as its last line."""

    wire: WireCosts
    state: StateSlopes
    control: ControlSlopes
    requests: RequestSlopes


def main() -> None:
    """Runs all measurements in sequence."""
    report = CapacityReport(
        wire=asyncio.run(measure_wire()),
        state=measure_state(),
        control=asyncio.run(measure_control()),
        requests=asyncio.run(measure_requests()),
    )
    print(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    main()
