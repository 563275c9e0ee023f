"""Slopes of state, processor time and traffic, measured at several sizes."""
