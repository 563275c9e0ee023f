"""Jobs that are graphs of steps of tasks, and where their tasks run."""
