"""Jobs of a soak, and what is known of them."""

import math
import random
from typing import Any

import msgspec

from nocover.configuration_soak.content import LASTING_ROUTES

FAR_FACTOR = 3.0
MEMORY_MB = 256


class JobStep(msgspec.Struct, frozen=True):
    """A step; `work_s` is how long each of its tasks works near its data."""

    count: int
    gpus: int
    work_s: float
    cpu: int = 500
    depends_on: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_local: bool = False
    data_rack: str = ""
    label: str = ""

    def needed_at_once(self) -> int:
        """Returns how many tasks must run for any of them to work."""
        return self.count if self.is_gang else 1

    def document(self) -> dict[str, Any]:
        """Returns the step as it is sent; fields that are empty are omitted."""
        fields = {
            "Count": self.count,
            "Cpu": self.cpu,
            "MemMb": MEMORY_MB,
            "Gpus": self.gpus,
            "EstimateMs": int(1000 * self.work_s),
            "DependsOn": list(self.depends_on),
            "Gang": self.is_gang,
            "RackLocal": self.is_rack_local,
            "DataRack": self.data_rack,
            "Requirements": self.label,
        }
        return {name: value for name, value in fields.items() if value}


class Job:
    """A job; `accepted_s` is infinite until its acceptance is confirmed.

    `done` holds the tasks of which a run has ended as done, `held` those of them whose end control
    has taken note of or can still ask for. `failures` counts runs that ended as failed.
    """

    __slots__ = (
        "accepted_s",
        "done",
        "failures",
        "held",
        "identifier",
        "is_shown_done",
        "noted",
        "route",
        "running",
        "steps",
    )

    def __init__(self, identifier: str, route: tuple[str, str], steps: tuple[JobStep, ...]) -> None:
        self.identifier = identifier
        self.route = route
        self.steps = steps
        self.accepted_s = math.inf
        self.done: set[tuple[int, int]] = set()
        self.held: set[tuple[int, int]] = set()
        self.noted: set[tuple[int, int]] = set()
        self.failures = 0
        self.running = 0
        self.is_shown_done = False

    def body(self) -> bytes:
        """Returns the body that submits the job."""
        steps = [step.document() for step in self.steps]
        return msgspec.json.encode({"Spec": "soak", "Steps": steps})

    def open_tasks(self, number: int, among: set[tuple[int, int]]) -> int:
        """Returns how many tasks of a step are not among these."""
        return sum((number, index) not in among for index in range(self.steps[number].count))

    def ready_steps(self) -> list[JobStep]:
        """Returns the steps whose turn has come and that are not done."""
        return [
            step
            for number, step in enumerate(self.steps)
            if self.open_tasks(number, self.held)
            and not any(self.open_tasks(earlier, self.held) for earlier in step.depends_on)
        ]

    def is_done(self) -> bool:
        """Returns whether a run of each task has ended as done."""
        return not any(self.open_tasks(number, self.done) for number in range(len(self.steps)))


def draw_job(source: random.Random, racks: list[str], labels: list[str]) -> Job:
    """Returns a job of a kind that is drawn."""
    work_s = source.uniform(0.3, 3.0)
    short_s = source.uniform(0.3, 1.0)
    small, large = source.randint(1, 4), source.choice((2, 4, 8))
    kinds: list[tuple[JobStep, ...]] = [
        (JobStep(1, small, work_s),),
        (JobStep(source.randint(2, 6), 1, work_s),),
        (JobStep(source.randint(2, 4), large, work_s, is_gang=True),),
        (JobStep(2, large, short_s, is_gang=True, is_rack_local=True),),
        (JobStep(source.randint(1, 3), small, short_s, data_rack=source.choice(racks)),),
        (JobStep(source.randint(1, 3), small, work_s, label=source.choice(labels)),),
        (
            JobStep(2, 1, short_s),
            JobStep(2, large, short_s, depends_on=(0,), is_gang=True),
            JobStep(1, small, short_s, depends_on=(0, 1)),
        ),
    ]
    identifier = f"{source.getrandbits(64):016x}"
    return Job(identifier, source.choice(LASTING_ROUTES), source.choice(kinds))
