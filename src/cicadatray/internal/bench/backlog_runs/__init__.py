"""Parts of the benchmark of large backlogs."""
