"""Runs minicheck on one specification."""

from typing import Any

from minicheck import Protocol, check_safety

from cicadatray.internal.models.check_result import CheckResult
from cicadatray.internal.models.specification import Invariant, Specification, Successors

# A search that reaches this many states is reported as incomplete, which counts as a failure.
MAX_STATES = 3_000_000


def stop_at_first_violation(protocol: Protocol) -> Protocol:
    """Makes the search end soon after the first violation.

    minicheck explores the whole state space even after it has a counterexample. Breadth-first
    order means that the first violation found is a shortest one, so states beyond it need no
    successors.
    """
    violated = False

    def watch(predicate: Invariant) -> Invariant:
        def check(fields: dict[str, Any]) -> bool:
            nonlocal violated
            if predicate(fields):
                return True
            violated = True
            return False

        return check

    successors = protocol.transitions

    def transitions(state: Any) -> Successors:
        found: Successors = [] if violated else successors(state)
        return found

    protocol.invariants = {name: watch(rule) for name, rule in protocol.invariants.items()}
    protocol.transitions = transitions
    return protocol


def check_specification(
    specification: Specification, defect: str | None, max_states: int = MAX_STATES
) -> CheckResult:
    """Searches all states of a specification, or up to the first violation."""
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
