"""A replicated log with elections, snapshots and membership changes."""
