"""Times of leases and of membership."""

# An agent announces itself this often.
ANNOUNCE_INTERVAL_S = 1.0
# A task whose agent is not heard for this long stops. Long enough for a change of leader.
LEASE_S = 6.0
# Ten per cent of a lease: far above the drift of any clock, so that scheduling delays fit too.
CLOCK_DRIFT_MARGIN_S = 0.6
# After this time the leader may take the accelerators as free.
LEASE_END_S = LEASE_S + CLOCK_DRIFT_MARGIN_S
# An agent not heard for this long leaves the directory of endpoints.
AGENT_GONE_S = 3.0
# A process that has not confirmed the configuration version for this long stops acting on it.
CONFIGURATION_VALIDITY_S = 5.0
