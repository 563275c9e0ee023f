"""Logging, metrics and state dumps of the daemons.

Imported by control daemons, whose memory is bounded at 64 MB: no HTTP and no CLI imports.
"""
