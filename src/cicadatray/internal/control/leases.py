"""Durations of leases, and timeouts of agents and of the configuration."""

# Interval between the announcements of an agent.
ANNOUNCE_INTERVAL_S = 1.0
# A task stops when its agent's lease is not renewed for this long, which is enough time for a
# change of leader.
LEASE_S = 6.0
# Ten per cent of a lease: far above the drift of any clock, to cover scheduling delays too.
CLOCK_DRIFT_MARGIN_S = 0.6
# After this time without contact the leader may assign the accelerators again.
LEASE_EXPIRY_S = LEASE_S + CLOCK_DRIFT_MARGIN_S
# An agent without contact for this long is removed from the directory that entries read.
AGENT_TIMEOUT_S = 3.0
# A process stops acting on a configuration version that it has not confirmed for this long.
CONFIGURATION_VALIDITY_S = 5.0
