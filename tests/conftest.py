"""Settings of the whole test suite."""

import os

import pytest
from hypothesis import HealthCheck, Phase, settings

from cicadatray.internal.bench.known_red import read_known_red_tests

SLOW_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]
# CI must give the same result on every run: no random seeds, and no deadlines on slow machines.
# Shrinking a failure of a state machine takes minutes, so only `HYPOTHESIS_PROFILE=dev` does it.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=SLOW_CHECKS,
)
settings.register_profile(
    "dev", derandomize=True, deadline=None, database=None, suppress_health_check=SLOW_CHECKS
)
# Draws other examples in each run; for searches by hand.
settings.register_profile(
    "search",
    deadline=None,
    database=None,
    phases=[Phase.explicit, Phase.generate],
    print_blob=True,
    suppress_health_check=SLOW_CHECKS,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects exactly the tests that KNOWN-RED.txt lists."""
    known_red = set(read_known_red_tests(config.rootpath / "KNOWN-RED.txt"))
    deselected = [item for item in items if item.nodeid in known_red]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known_red]
