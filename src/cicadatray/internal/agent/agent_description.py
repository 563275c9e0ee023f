"""The part of an agent's state that is shown to operators."""

import msgspec

from cicadatray.internal.agent.attempt_runner import AttemptRunner


class AttemptsDescription(msgspec.Struct, frozen=True):
    """The state of slots and ledger.

    `forgotten_index` is the highest claim index that was evicted from the ledger.
    """

    running: int
    queued: int
    slots: int
    draining: bool
    mean_run_s: float
    in_progress: int
    ended: int
    held_bytes: int
    limit_bytes: int
    forgotten_index: int


class AgentDescription(msgspec.Struct, frozen=True):
    """The state of an agent; `lease_left_s` is zero when the leader has not renewed its lease."""

    agent_id: str
    incarnation: str
    draining: bool
    lease_left_s: float
    tasks: int
    attempts: AttemptsDescription | None


def describe_attempts(runner: AttemptRunner) -> AttemptsDescription:
    """Returns the current state of slots and ledger."""
    load, ledger = runner.limiter.load(), runner.ledger
    return AttemptsDescription(
        running=load.running,
        queued=load.queued,
        slots=load.slots,
        draining=load.draining,
        mean_run_s=round(runner.limiter.mean_run_s, 4),
        in_progress=len(ledger.in_progress),
        ended=len(ledger.ended),
        held_bytes=ledger.held_bytes,
        limit_bytes=ledger.limit_bytes,
        forgotten_index=ledger.forgotten_index,
    )
