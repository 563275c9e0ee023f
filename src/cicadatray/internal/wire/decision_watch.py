"""Detects replies that an older configuration has decided."""

import structlog

from cicadatray.internal.observability.graph_metrics import older_decisions
from cicadatray.internal.observability.metrics_registry import MetricsRegistry
from cicadatray.internal.wire.message import MessageStruct
from cicadatray.internal.wire.messages.decision import Decision

log = structlog.get_logger(__name__)


class DecisionWatch:
    """Compares the decisions in the replies of control.

    `latest` is the decision with the highest version so far. Replies are linearizable, so a call
    that begins after that reply must not be decided by a lower version.
    """

    __slots__ = ("latest", "older")

    def __init__(self, metrics: MetricsRegistry) -> None:
        self.latest = Decision(0, 0, "")
        self.older = older_decisions(metrics)

    def is_older(self, reply: MessageStruct, known: Decision) -> bool:
        """Returns whether a reply was decided by an older version than `known`.

        `known` is the value of `latest` at the start of the call. Replies without a decision are
        not compared.
        """
        decision: Decision | None = getattr(reply, "decision", None)
        if decision is None:
            return False
        if decision.version > self.latest.version:
            self.latest = decision
        if decision.version >= known.version:
            return False
        self.older.increment()
        log.error(
            "older configuration",
            version=decision.version,
            term=decision.term,
            member=decision.member,
            known_version=known.version,
            known_term=known.term,
            known_member=known.member,
        )
        return True


def decision_fields(reply: MessageStruct) -> dict[str, object]:
    """Returns the fields of a log line that name the decision in a reply."""
    decision: Decision | None = getattr(reply, "decision", None)
    if decision is None:
        return {}
    return {
        "configuration": decision.version,
        "term": decision.term,
        "decided_by": decision.member,
    }
