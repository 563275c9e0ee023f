"""The health of one endpoint, derived from the results of requests to it."""

import random

from cicadatray.internal.entry.health_lifecycle import (
    ADMIT,
    EJECT,
    POSTPONE,
    PROBE,
    HealthState,
    next_health,
)

# Single failures are common when an endpoint restarts; five in a row show a persistent fault.
EJECT_AFTER_FAILURES = 5
# The first ejection covers the restart of an endpoint; the limit suits one that awaits repair.
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EJECTION_FACTOR = 2.0
# Keeps the power of the backoff from overflowing; the duration reaches its limit far earlier.
MAX_EJECTION_COUNT = 16
# Spreads the probes of entries that ejected an endpoint at the same time.
EJECTION_JITTER = 0.25
# After this long without a new ejection the next one has the initial duration again.
EJECTION_RESET_S = 60.0
# A single success proves little about an endpoint that fails only some of its requests.
PROBES_TO_ADMIT = 3
# The failure rate is a moving average over about this many results.
FAILURE_RATE_WINDOW = 5
# Without decay an endpoint that gets no requests because of its failures would never get any.
FAILURE_RATE_HALF_LIFE_S = 10.0
# Between idle endpoints any difference decides the selection. With this threshold a single failure
# has an effect for 20 s only.
MIN_FAILURE_RATE = 0.05


class EndpointHealth:
    """The failure statistics and the ejection state of an endpoint; times are event loop time."""

    __slots__ = (
        "admitted_at_s",
        "ejected_until_s",
        "ejections",
        "failure_rate",
        "failures_in_row",
        "last_result_s",
        "probe_in_flight",
        "probe_successes",
        "random",
        "state",
    )

    def __init__(self, random_source: random.Random | None = None) -> None:
        self.state = HealthState.HEALTHY
        self.random = random_source or random.Random()
        self.failures_in_row = 0
        self.failure_rate = 0.0
        self.last_result_s = 0.0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.admitted_at_s = 0.0
        self.probe_in_flight = False
        self.probe_successes = 0

    def record_result(self, failed: bool, now_s: float) -> None:
        """Records the result of a request that is not a probe."""
        rate = self.penalty(now_s)
        self.failure_rate = rate + (float(failed) - rate) / FAILURE_RATE_WINDOW
        self.last_result_s = now_s
        self.failures_in_row = self.failures_in_row + 1 if failed else 0

    def penalty(self, now_s: float) -> float:
        """Returns the load that failures add, at most 1.0, the load with all slots in use.

        Without it an endpoint that fails fast would have nothing in progress and attract requests.
        """
        half_lives = (now_s - self.last_result_s) / FAILURE_RATE_HALF_LIFE_S
        rate: float = self.failure_rate * 0.5**half_lives
        return rate if rate >= MIN_FAILURE_RATE else 0.0

    def should_be_ejected(self) -> bool:
        """Returns whether a healthy endpoint has failed too many requests in a row."""
        return self.state is HealthState.HEALTHY and self.failures_in_row >= EJECT_AFTER_FAILURES

    def eject(self, now_s: float) -> None:
        """Ejects the endpoint for a time that grows with each consecutive ejection."""
        if now_s - self.admitted_at_s > EJECTION_RESET_S and self.state is HealthState.HEALTHY:
            self.ejections = 0
        duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * EJECTION_FACTOR**self.ejections)
        duration_s *= self.random.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        self.ejections = min(self.ejections + 1, MAX_EJECTION_COUNT)
        self.ejected_until_s = now_s + duration_s
        self.probe_successes = 0
        self._apply_trigger(EJECT)

    def is_probe_due(self, now_s: float) -> bool:
        """Returns whether the next request may be sent to this endpoint as a probe."""
        if self.probe_in_flight:
            return False
        return self.state is HealthState.PROBING or (
            self.state is HealthState.EJECTED and now_s >= self.ejected_until_s
        )

    def start_probe(self) -> None:
        """Marks a probe as in flight."""
        if self.state is HealthState.EJECTED:
            self._apply_trigger(PROBE)
        self.probe_in_flight = True

    def end_probe(self, failed: bool | None, now_s: float) -> None:
        """Records the result of a probe; `failed` is None if the result was neutral."""
        self.probe_in_flight = False
        if failed is None:
            self._apply_trigger(POSTPONE)
        elif failed:
            self.eject(now_s)
        else:
            self.probe_successes += 1
            if self.probe_successes >= PROBES_TO_ADMIT:
                self._admit(now_s)

    def _admit(self, now_s: float) -> None:
        self._apply_trigger(ADMIT)
        self.admitted_at_s = now_s
        self.failures_in_row = 0
        self.failure_rate = 0.0

    def _apply_trigger(self, trigger: str) -> None:
        next_state = next_health(self.state, trigger)
        assert next_state is not None, f"{trigger} is not allowed in {self.state}"
        self.state = next_state
