"""Timing of an agent's calls to control."""

# Time that control may hold a call without changes, so that the worker's lease is renewed in time.
WAIT_S = 0.5
# A leader that does not reply within its wait plus this time is frozen or unreachable.
ATTEMPT_TIMEOUT_S = 1.2
TIMEOUT_S = 3.0
RETRY_S = 0.2
# Changes that arrive within this time are sent in one call.
BATCH_DELAY_S = 0.005
