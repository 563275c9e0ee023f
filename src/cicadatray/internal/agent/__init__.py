"""The agent role: the process beside an endpoint or a worker."""
