"""Memory of the replicated state for each job, key, worker and account."""

import tracemalloc
from collections.abc import Callable

import msgspec

from cicadatray.internal.bench.capacity_runs.line_fit import LineFit, Point, fit_line
from cicadatray.internal.control import commands
from cicadatray.internal.control.control_state import ControlState
from cicadatray.internal.wire.messages.configuration_messages import (
    AccountRecord,
    Accounts,
    ChangeConfiguration,
)
from cicadatray.internal.wire.messages.job_messages import SubmitJob
from cicadatray.internal.wire.messages.key_messages import ClaimKey
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.job_request import JobRequest
from cicadatray.scheduling.shape import Scope, Shape

SIZES = (500, 1000, 2000, 4000)
# Importing the modules registers the functions that apply commands to the state.
assert commands.COMMAND_MODULES


class StateSlopes(msgspec.Struct, frozen=True):
    """Bytes of memory for each item, and of a snapshot for each job."""

    job: LineFit
    key: LineFit
    worker: LineFit
    account: LineFit
    snapshot_job: LineFit


def measure_state() -> StateSlopes:
    """Measures states of several sizes and fits a line for each kind of item."""
    return StateSlopes(
        job=_fit_memory(_add_jobs),
        key=_fit_memory(_add_keys),
        worker=_fit_memory(_set_inventory),
        account=_fit_memory(_set_accounts),
        snapshot_job=fit_line([Point(size, _snapshot_bytes(size)) for size in SIZES]),
    )


def _fit_memory(fill: Callable[[ControlState, int], None]) -> LineFit:
    points = []
    for size in SIZES:
        tracemalloc.start()
        state = ControlState()
        before, _ = tracemalloc.get_traced_memory()
        fill(state, size)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append(Point(size, after - before))
    return fit_line(points)


def _snapshot_bytes(size: int) -> int:
    state = ControlState()
    _add_jobs(state, size)
    return len(state.snapshot())


def _add_jobs(state: ControlState, count: int) -> None:
    for number in range(count):
        request = JobRequest(
            job_id=f"job-{number:020}",
            client_account=f"account-{number % 410}",
            shape=Shape(8, Scope.WORKER),
            declared_run_s=3600.0,
            checkpointable=True,
            urgent=False,
            submitted_s=1000.0 + number,
        )
        command = SubmitJob(
            request=request,
            payload="x" * 100,
            digest=number.to_bytes(16, "big"),
            trace_id=f"{number:016x}",
        )
        state.apply(number, state.encode_command(command))


def _add_keys(state: ControlState, count: int) -> None:
    for number in range(count):
        command = ClaimKey(
            client_account=f"account-{number % 410}",
            key=f"key-{number:032}",
            digest=number.to_bytes(16, "big"),
            agent_id=f"agent-{number % 40}",
            agent_incarnation=f"{number % 40:016x}",
            time_s=1000.0 + number,
        )
        state.apply(number, state.encode_command(command))


def _set_inventory(state: ControlState, count: int) -> None:
    workers = tuple(
        WorkerRecord(f"worker-{n}", f"centre-{n % 7}", f"rack-{n // 3}", 2, 64, 128, f"m-{n % 9}")
        for n in range(count)
    )
    command = ChangeConfiguration(
        operation_id="i", operator="o", replaces_version=0, inventory=Inventory(workers)
    )
    state.apply(1, state.encode_command(command))


def _set_accounts(state: ControlState, count: int) -> None:
    records = tuple(AccountRecord(f"account-{n}", f"{n:064x}") for n in range(count))
    command = ChangeConfiguration(
        operation_id="a", operator="o", replaces_version=0, accounts=Accounts(records)
    )
    state.apply(1, state.encode_command(command))
