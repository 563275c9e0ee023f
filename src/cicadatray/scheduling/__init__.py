"""Placement decisions for gangs of accelerators under client account guarantees.

The library has no process, network protocol or clock of its own: callers pass times as `now_s`.
"""
