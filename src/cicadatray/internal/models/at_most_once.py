"""Non-idempotent requests: claim, run, refuse, reassign, release, attach, resolve (design 4).

There are one key, two entries and two agents. The replicated log is one atomic record. A message
that has been sent remains deliverable for ever, which covers late and duplicated messages; one that
is never delivered is lost. An attach may arrive at any time, also from entries and resends beyond
those modelled. An entry's proposal may be committed without the entry being notified.

The specification models three rules that are stricter than "the entry replies not run":
an entry commits `ReleaseKey(attempt)` before it replies `not_run`; a request rejected before the
log was read is answered with `rejected`, which implies nothing about earlier sends of the key; an
agent that drops the record of an attempt remembers that the attempt may have run.
"""

from cicadatray.internal.models.key_agents import agent_steps, restart_steps
from cicadatray.internal.models.key_entries import entry_steps
from cicadatray.internal.models.key_state import (
    AGENTS,
    ENTRIES,
    IDLE,
    MAX_ATTEMPTS,
    MAX_LOST_REPLIES,
    MAX_REQUESTS,
    MAX_RESTARTS,
    AtMostOnceDefect,
    Defect,
    KeyState,
)
from cicadatray.internal.models.registry import registered_specification
from cicadatray.internal.models.specification import Specification, Successors


def canonical(state: KeyState) -> KeyState:
    """Returns one representative of the states that differ only in the order of the entries."""
    return state._replace(entries=tuple(sorted(state.entries)))


def successors(state: KeyState, defect: Defect | None) -> Successors:
    """Returns the successors under all actions of entries and agents."""
    steps = agent_steps(state, defect) + restart_steps(state)
    for entry in range(ENTRIES):
        steps += entry_steps(state, entry, defect)
    return [(label, canonical(after)) for label, after in steps]


@registered_specification
def at_most_once() -> Specification:
    """Returns the specification and its bounds."""
    return Specification(
        name="at_most_once",
        initial=KeyState(
            "free", (), (0,) * AGENTS, (IDLE,) * ENTRIES, 0, 0, 0, 0, -1, False, False
        ),
        successors=successors,
        invariants={
            "runs_at_most_once": lambda d: d["runs"] <= 1,
            "not_run_is_true": lambda d: not 0 < d["run_generation"] <= d["not_run_generation"],
            "answers_agree": lambda d: not (d["told_completed"] and d["told_unknown"]),
        },
        defects=tuple(AtMostOnceDefect),
        bounds={
            "entries": ENTRIES,
            "agents": AGENTS,
            "attempts": MAX_ATTEMPTS,
            "requests": MAX_REQUESTS,
            "agent_restarts": MAX_RESTARTS,
            "lost_commit_replies": MAX_LOST_REPLIES,
        },
    )
