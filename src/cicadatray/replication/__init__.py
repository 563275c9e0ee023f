"""A replicated log with elections, snapshots and membership changes.

`Replica` in `cicadatray.replication.replica` is the entry point; docs/decisions-replication.md
explains the protocol.
"""
