"""Tests of the example programs in the embedding guide."""

import asyncio
import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

from cicadatray.internal.bench.virtual_time_loop import run_virtual

FOLDER = Path(__file__).parents[3] / "examples" / "embedding"


def load_example(name: str) -> ModuleType:
    specification = importlib.util.spec_from_file_location(name, FOLDER / f"{name}.py")
    assert specification is not None and specification.loader is not None
    module = importlib.util.module_from_spec(specification)
    specification.loader.exec_module(module)
    return module


def test_scheduling_example(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against an example that no longer works with the scheduling library."""
    load_example("schedule_jobs").main()
    lines = capsys.readouterr().out.splitlines()
    assert sum("start lent-" in line for line in lines) >= 4
    assert any("claim waits" in line for line in lines)


def test_replication_example(tmp_path: Path) -> None:
    """Guards against an example that no longer works with the replication library."""
    replicate = load_example("replicate_counter").replicate
    assert run_virtual(replicate(tmp_path, writes_in_thread=False)) == [6, 6, 6]


def test_replication_example_with_threads(tmp_path: Path) -> None:
    """Guards against writes in a thread whose completion never reaches the event loop."""
    assert asyncio.run(load_example("replicate_counter").replicate(tmp_path)) == [6, 6, 6]
