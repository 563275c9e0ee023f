"""Settings of the daemon: one JSON file for each process."""
