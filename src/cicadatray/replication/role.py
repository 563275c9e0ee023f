"""Roles of a replica."""

from enum import StrEnum


class Role(StrEnum):
    """Role of a replica.

    A learner receives the log, but does not count towards quorums and never campaigns.
    """

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"
