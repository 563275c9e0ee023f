"""Simulated loads of task graphs for the scheduling library, without processes."""
