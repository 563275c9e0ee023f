"""Measures the request path under overload and failures, on the virtual clock.

Run it with `python -m cicadatray.internal.bench.requests`; the last line is one JSON object.
"""

import logging

import msgspec
import structlog

from cicadatray.internal.bench.requests_simulation.request_load import RequestLoad, RequestReport
from cicadatray.internal.bench.requests_simulation.request_variant import RequestVariant
from cicadatray.internal.bench.virtual_time_loop import run_virtual

LOADS = (0.7, 2.0)
VARIANTS = (
    RequestVariant("product"),
    RequestVariant("random choice", pick="random"),
    RequestVariant("least load", pick="least"),
    RequestVariant("no retry budget", retry_budget=False),
    RequestVariant("no ejection", ejection=False),
    RequestVariant("least load, no ejection", pick="least", ejection=False),
    RequestVariant("no fair queue", fair_queue=False),
    RequestVariant("no adaptive limit", adaptive_limit=False),
    RequestVariant("none of them", "random", False, False, False, False),
)


class RequestReports(msgspec.Struct, frozen=True):
    """The reports of all runs."""

    runs: list[RequestReport]


async def measure(variant: RequestVariant, load: float) -> RequestReport:
    """Runs one variant at a load, given as a multiple of the capacity."""
    return await RequestLoad(variant, load).run()


def main() -> None:
    """Prints one line for each run, then all of them as JSON."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    reports = []
    for load in LOADS:
        for variant in VARIANTS:
            report = run_virtual(measure(variant, load))
            reports.append(report)
            print(
                f"load {load:3} {variant.name:24} completed {report.completed:6} of "
                f"{report.requests:6}  5xx {report.failed:5}  p50 {report.p50_ms:7.1f} ms  "
                f"p99 {report.p99_ms:7.1f} ms  sent/request {report.sent_per_request:.3f}  "
                f"small account {report.small_share:.3f}  to failing {report.sent_to_failing}",
                flush=True,
            )
    print(msgspec.json.encode(RequestReports(reports)).decode())


if __name__ == "__main__":
    main()
