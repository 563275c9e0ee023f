"""Limits that must be equal on all members."""

# A message with its envelope must fit into a frame of the wire layer (4 MiB).
MESSAGE_LIMIT_BYTES = 3584 * 1024
COMMAND_LIMIT_BYTES = 3072 * 1024
RECORD_LIMIT_BYTES = COMMAND_LIMIT_BYTES + 64 * 1024
SNAPSHOT_LIMIT_BYTES = 256 * 1024 * 1024
# Fraction by which a leader shortens its lease. Quartz clocks drift by well under 0.1%; the rest of
# the margin covers timers that fire late.
CLOCK_DRIFT_MARGIN = 0.1
