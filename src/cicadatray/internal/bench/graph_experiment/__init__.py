"""Loads of task graphs played through the scheduling library without processes."""
