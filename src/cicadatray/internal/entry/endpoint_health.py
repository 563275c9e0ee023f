"""The health of one endpoint as an entry sees it."""

import random

from cicadatray.internal.entry.health_lifecycle import (
    ADMIT,
    EJECT,
    POSTPONE,
    PROBE,
    HealthState,
    next_health,
)

# A single lost answer is common when an endpoint restarts; five in a row are no coincidence.
EJECT_AFTER = 5
# The first ejection covers a restart of an endpoint, later ones grow up to a repair.
EJECTION_FIRST_S = 1.0
EJECTION_LIMIT_S = 30.0
EJECTION_FACTOR = 2.0
# Far beyond the count at which the limit is reached; the power must not overflow.
EJECTION_COUNT_LIMIT = 16
# Entries that ejected an endpoint at the same moment do not probe it at the same moment.
EJECTION_JITTER = 0.25
# After this long without a new ejection the next one starts from the first duration again.
EJECTION_FORGET_S = 60.0
# One success may be luck where an endpoint fails only part of its requests.
PROBES_TO_ADMIT = 3
# The share of failures follows the last results, about this many of them.
FAILURE_RATE_WINDOW = 5
# An endpoint that gets no request because of its failures must become eligible again.
FAILURE_RATE_HALF_LIFE_S = 10.0
# Between idle endpoints any difference decides, so a single failure counts for 20 s only.
FAILURE_RATE_FLOOR = 0.05


class EndpointHealth:
    """Counts failures in a row. All times are event loop time."""

    __slots__ = (
        "admitted_at_s",
        "ejected_until_s",
        "ejections",
        "failure_rate",
        "failures_in_row",
        "probe_in_flight",
        "probe_successes",
        "random",
        "result_at_s",
        "state",
    )

    def __init__(self, random_source: random.Random | None = None) -> None:
        self.state = HealthState.HEALTHY
        self.random = random_source or random.Random()
        self.failures_in_row = 0
        self.failure_rate = 0.0
        self.result_at_s = 0.0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.admitted_at_s = 0.0
        self.probe_in_flight = False
        self.probe_successes = 0

    def record(self, failed: bool, now_s: float) -> None:
        """Takes the result of an ordinary request."""
        rate = self.penalty(now_s)
        self.failure_rate = rate + (float(failed) - rate) / FAILURE_RATE_WINDOW
        self.result_at_s = now_s
        self.failures_in_row = self.failures_in_row + 1 if failed else 0

    def penalty(self, now_s: float) -> float:
        """Returns the load that failures add, up to 1.0, the load of a full endpoint.

        An endpoint that fails fast has nothing in progress and would otherwise attract requests.
        """
        half_lives = (now_s - self.result_at_s) / FAILURE_RATE_HALF_LIFE_S
        rate: float = self.failure_rate * 0.5**half_lives
        return rate if rate >= FAILURE_RATE_FLOOR else 0.0

    def should_be_ejected(self) -> bool:
        """Tells whether the endpoint failed too many requests in a row."""
        return self.state is HealthState.HEALTHY and self.failures_in_row >= EJECT_AFTER

    def eject(self, now_s: float) -> None:
        """Takes the endpoint out of use for a time that grows with each ejection."""
        if now_s - self.admitted_at_s > EJECTION_FORGET_S and self.state is HealthState.HEALTHY:
            self.ejections = 0
        duration_s = min(EJECTION_LIMIT_S, EJECTION_FIRST_S * EJECTION_FACTOR**self.ejections)
        duration_s *= self.random.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        self.ejections = min(self.ejections + 1, EJECTION_COUNT_LIMIT)
        self.ejected_until_s = now_s + duration_s
        self.probe_successes = 0
        self._change(EJECT)

    def is_probe_due(self, now_s: float) -> bool:
        """Tells whether the next request may go to this endpoint as a probe."""
        if self.probe_in_flight:
            return False
        return self.state is HealthState.PROBING or (
            self.state is HealthState.EJECTED and now_s >= self.ejected_until_s
        )

    def start_probe(self) -> None:
        """Marks that a single request is on its way."""
        if self.state is HealthState.EJECTED:
            self._change(PROBE)
        self.probe_in_flight = True

    def end_probe(self, failed: bool | None, now_s: float) -> None:
        """Takes the result of a probe; None where it tells nothing about the endpoint."""
        self.probe_in_flight = False
        if failed is None:
            self._change(POSTPONE)
        elif failed:
            self.eject(now_s)
        else:
            self.probe_successes += 1
            if self.probe_successes >= PROBES_TO_ADMIT:
                self._admit(now_s)

    def _admit(self, now_s: float) -> None:
        self._change(ADMIT)
        self.admitted_at_s = now_s
        self.failures_in_row = 0
        self.failure_rate = 0.0

    def _change(self, trigger: str) -> None:
        following = next_health(self.state, trigger)
        assert following is not None, f"{trigger} is not allowed in {self.state}"
        self.state = following
