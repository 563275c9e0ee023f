"""Checks one specification with minicheck."""

from typing import Any

from minicheck import Protocol, check_safety

from cicadatray.internal.models.check_result import CheckResult
from cicadatray.internal.models.specification import Invariant, Specification, Successors

# A search that reaches this number of states is reported as incomplete, which is a failure.
MAX_STATES = 3_000_000


def stop_at_first_violation(protocol: Protocol) -> Protocol:
    """Changes a protocol so that its search ends soon after the first violation.

    minicheck explores the whole state space even after it has found a counterexample. The search
    is breadth-first, so the first violation found is a shortest one, and states visited after it
    need no successors.
    """
    violated = False

    def record_violation(predicate: Invariant) -> Invariant:
        def checked(fields: dict[str, Any]) -> bool:
            nonlocal violated
            if predicate(fields):
                return True
            violated = True
            return False

        return checked

    successors = protocol.transitions

    def transitions(state: Any) -> Successors:
        next_states: Successors = [] if violated else successors(state)
        return next_states

    protocol.invariants = {
        name: record_violation(invariant) for name, invariant in protocol.invariants.items()
    }
    protocol.transitions = transitions
    return protocol


def check_specification(
    specification: Specification, defect: str | None, max_states: int = MAX_STATES
) -> CheckResult:
    """Searches the states of a specification until all are visited or an invariant is violated."""
    protocol = stop_at_first_violation(specification.protocol(defect))
    report = check_safety(protocol, max_states=max_states)
    violations = [
        (len(outcome["counterexample"]), name, outcome["counterexample"])
        for name, outcome in report["properties"].items()
        if outcome["holds"] is False
    ]
    length, violated, states = min(violations, default=(1, "", []), key=lambda v: v[:2])
    return CheckResult(
        specification=specification.name,
        defect=defect,
        states=report["reachable_states"],
        complete=report["exhaustive"],
        holds=report["exhaustive"] and not violations,
        violated=violated,
        steps=length - 1,
        trace=[(step["label"] or "initial", step["state"]) for step in states],
    )
