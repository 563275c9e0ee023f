"""How long work has been held back, across rounds."""

from collections import Counter
from collections.abc import Callable, Iterable

from cicadatray.scheduling.taskgraphs.wait_reason import WaitReason

# A longer pause between two rounds, or a step of the clock, counts as this long, in seconds.
LONGEST_ROUND_S = 1.0
# At most this many reasons are found in one round: each takes 30 ms with 6,100 workers, for which
# the leader does nothing else.
MAX_DIAGNOSES = 4

HoldKey = tuple[str, int, int, int]


class HoldMemory:
    """The time for which each held work has been held, in seconds; kept in `RuleMemory`.

    `held_s` has the work that the present round has found to be held, and `former_s` that of the
    round before. Work that is not held in a round begins anew. `bypasses` counts how often held
    work has taken room that was reserved for other work, by that work. `reasons` is what held the
    work of both rounds back when that was diagnosed, and `diagnoses` counts this for the present
    round. `tried` has the work that the present round has tried. `round_s` is the time of the
    present round in seconds since 1970, a clock that may be set back or forward between two rounds.
    """

    __slots__ = (
        "bypasses",
        "diagnoses",
        "elapsed_s",
        "former_s",
        "held_s",
        "reasons",
        "round_s",
        "tried",
    )

    def __init__(self) -> None:
        self.held_s: dict[HoldKey, float] = {}
        self.former_s: dict[HoldKey, float] = {}
        self.bypasses: Counter[HoldKey] = Counter()
        self.reasons: dict[HoldKey, WaitReason] = {}
        self.diagnoses = 0
        self.tried: set[HoldKey] = set()
        self.round_s = 0.0
        self.elapsed_s = 0.0

    def begin_round(self, now_s: float) -> None:
        """Begins a round; `now_s` is in seconds since 1970."""
        self.elapsed_s = min(max(0.0, now_s - self.round_s), LONGEST_ROUND_S)
        self.round_s = now_s
        self.diagnoses = 0
        self.tried = set()
        self.former_s, self.held_s = self.held_s, {}
        self.reasons = {k: reason for k, reason in self.reasons.items() if k in self.former_s}

    def extend(self, key: HoldKey) -> float:
        """Records that work is held in this round, and returns for how long it has been."""
        former_s = self.former_s.get(key)
        held_s = 0.0 if former_s is None else former_s + self.elapsed_s
        self.held_s[key] = held_s
        return held_s

    def keep_untried(self) -> None:
        """Keeps the times of work that a round which ended early has not come to."""
        for key, former_s in self.former_s.items():
            if key not in self.tried:
                self.held_s[key] = former_s + self.elapsed_s

    def reason_of(self, key: HoldKey, diagnose: Callable[[], WaitReason]) -> WaitReason | None:
        """Returns what holds work back that is held in this round, None if it is not known yet."""
        if key not in self.reasons:
            if self.diagnoses >= MAX_DIAGNOSES:
                return None
            self.diagnoses += 1
            self.reasons[key] = diagnose()
        return self.reasons[key]

    def keep_bypasses(self, waiting: Iterable[HoldKey]) -> None:
        """Forgets the bypasses of work that does not wait any more."""
        if self.bypasses:
            kept = set(waiting)
            self.bypasses = Counter({k: n for k, n in self.bypasses.items() if k in kept})

    def clear(self) -> None:
        """Forgets all held work, because none is held."""
        self.held_s = {}
