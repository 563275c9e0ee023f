"""The policies that experiments compare."""

from collections.abc import Callable, Sequence

from cicadatray.scheduling.taskgraphs.placement_round import PlacementRound
from cicadatray.scheduling.taskgraphs.running_work import RunningWork
from cicadatray.scheduling.taskgraphs.start_limits import StartLimits
from cicadatray.scheduling.taskgraphs.worker_room import WorkerRoom

Workers = Sequence[WorkerRoom]
Running = Sequence[RunningWork]
MakeRound = Callable[[Workers, Running, float], PlacementRound]
experiment_policies: dict[str, MakeRound] = {}


def experiment_policy(name: str) -> Callable[[MakeRound], MakeRound]:
    """Registers a function that makes one round of placement."""

    def register(make_round: MakeRound) -> MakeRound:
        experiment_policies[name] = make_round
        return make_round

    return register


@experiment_policy("present")
def present_round(workers: Workers, running: Running, now_s: float) -> PlacementRound:
    """Returns the round as control plays it."""
    return PlacementRound(workers, running, now_s)


@experiment_policy("hasty")
def hasty_round(workers: Workers, running: Running, now_s: float) -> PlacementRound:
    """Returns a round that displaces at once, without waiting for work that is about to end."""
    return PlacementRound(workers, running, now_s, StartLimits(urgent_start_s=0.1))


@experiment_policy("patient")
def patient_round(workers: Workers, running: Running, now_s: float) -> PlacementRound:
    """Returns a round for a promise of twice the time."""
    return PlacementRound(workers, running, now_s, StartLimits(urgent_start_s=5.0))
