"""How the jobs of one kind differ from each other."""

import msgspec


class JobVariation(msgspec.Struct, frozen=True, kw_only=True):
    """The spread of a kind of job; widths and durations are lognormal.

    `mean_tasks` is the mean number of tasks of a step. `width_spread`, `duration_spread`,
    `task_spread` and `estimate_spread` are standard deviations of the log: of the number of tasks,
    of the durations of jobs, of the durations of the tasks of one step, and of estimates around the
    true duration. `most_tasks` limits the number of tasks, `most_gang_accelerators` the size of a
    gang. The other figures are shares of the jobs; `rack_local_share` is that of gangs that are
    slow outside a single rack. `memory_mb` is that of one task. A `tail_share` of the jobs takes
    `tail_factor` times as long, which their estimates do not know.
    """

    mean_tasks: float
    width_spread: float
    most_tasks: int
    most_gang_accelerators: int
    duration_spread: float
    task_spread: float
    estimate_spread: float
    memory_mb: int
    second_step_share: float = 0.0
    rack_local_share: float = 0.0
    checkpointable_share: float = 0.0
    cancelled_share: float = 0.0
    failed_share: float = 0.0
    accelerator_sizes: tuple[int, ...] = (1,)
    tail_share: float = 0.0
    tail_factor: float = 1.0
