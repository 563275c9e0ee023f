"""Runs of task graphs on the worker of an agent."""
