"""Measures the slopes that docs/CAPACITY.md is worked out from: `./build.sh capacity`."""

import asyncio

import msgspec

from cicadatray.internal.bench.capacity_runs.control_slopes import ControlSlopes, measure_control
from cicadatray.internal.bench.capacity_runs.request_slopes import RequestSlopes, measure_requests
from cicadatray.internal.bench.capacity_runs.state_slopes import StateSlopes, measure_state
from cicadatray.internal.bench.capacity_runs.wire_costs import WireCosts, measure_wire


class CapacityReport(msgspec.Struct, frozen=True):
    """The last line of a run."""

    wire: WireCosts
    state: StateSlopes
    control: ControlSlopes
    requests: RequestSlopes


def main() -> None:
    """Runs every measurement, one after the other."""
    report = CapacityReport(
        wire=asyncio.run(measure_wire()),
        state=measure_state(),
        control=asyncio.run(measure_control()),
        requests=asyncio.run(measure_requests()),
    )
    print(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    main()
