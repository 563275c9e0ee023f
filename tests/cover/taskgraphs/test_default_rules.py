"""Plans of the default rules, compared with those of the version before rules could be chosen."""

import pytest

from cover.experiment.plan_digest import digest_plans, digest_random_rounds

SEEDS = range(1, 13)


@pytest.mark.parametrize(
    ("sheet", "burst", "rounds", "digest"),
    [
        ("cartago", 1.0, 416, "963411784b7ed3c2"),
        ("cartago", 3.0, 1044, "e40ed3dff3c833e0"),
        ("port_louis", 1.0, 883, "2440c9d7097f2072"),
        ("port_louis", 3.0, 1463, "1102aec023df9d2a"),
        ("muscat_grown", 1.0, 1021, "045aa15ab1ea5708"),
        ("muscat_grown", 3.0, 1563, "b8577ac5a14f7f36"),
        ("port_louis_varied", 1.0, 1091, "f835493a08db2ff9"),
        ("port_louis_varied", 3.0, 1845, "8aa3c179448717ae"),
        ("port_louis_disturbed", 1.0, 1140, "dc39cb43d94e0b39"),
        ("port_louis_disturbed", 3.0, 1934, "581400c580ea74f1"),
    ],
)
def test_default_rules_plan_as_before(sheet: str, burst: float, rounds: int, digest: str) -> None:
    """Guards against a new rule that changes decisions where no deployment has chosen it.

    The digests were recorded with version f2ef71e.
    """
    recorder = digest_plans(sheet, burst, SEEDS)
    assert (recorder.rounds, recorder.digest.hexdigest()[:16]) == (rounds, digest)


def test_default_rules_plan_random_rounds_as_before() -> None:
    """Guards against the same failure on inputs that no load sheet produces."""
    recorder = digest_random_rounds("present", range(2_000))
    assert recorder.rounds == 2_000
    assert recorder.digest.hexdigest()[:16] == "bb425615adc90673"
