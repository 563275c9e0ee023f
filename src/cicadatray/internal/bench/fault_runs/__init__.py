"""Faults of real processes, and what must hold through them."""
