"""The crashes of workers under one task."""

import msgspec

# A run that its worker has listed for this long has not crashed it by being started, in seconds.
HARMLESS_AFTER_S = 0.5
# A task is given up after this many crashes in a row that came before its run was harmless. A
# bystander is started alone after its first such crash, so further ones have another cause. One
# agent's workers may crash again and again by themselves, so they must not all be its workers.
MAX_EARLY_CRASHES = 3
# A task is given up after this many crashes in all, if it crashes its workers later than at its
# start. This does not hold for long-running tasks, which outlive many workers.
MAX_CRASHES = 5
# Crashes before a run that lasted this long do not count any more, in seconds.
FORGET_AFTER_S = 10.0


class CrashRecord(msgspec.Struct, array_like=True):
    """Counts the crashes of workers while a run of one task may have been there.

    `early` counts the latest crashes in a row that came before the run was known to be harmless,
    and `total` all of them. `agents` names the agents of the workers in the first group; an agent
    that is not known counts as one of its own.
    """

    total: int = 0
    early: int = 0
    agents: tuple[str, ...] = ()

    @property
    def is_suspect(self) -> bool:
        """Whether the task may have caused the last crash by being started."""
        return self.early > 0

    def is_exhausted(self, is_long_running: bool) -> bool:
        """Returns whether the task must not be started again."""
        if self.early >= MAX_EARLY_CRASHES and len(self.agents) > 1:
            return True
        return self.total >= MAX_CRASHES and not is_long_running

    def add(self, observed_s: float, agent_id: str = "") -> None:
        """Records a crash of a worker that certainly had the run for `observed_s` seconds."""
        self.total = 1 if observed_s >= FORGET_AFTER_S else self.total + 1
        if observed_s >= HARMLESS_AFTER_S:
            self.early, self.agents = 0, ()
            return
        self.early += 1
        if not agent_id or agent_id not in self.agents:
            self.agents += (agent_id,)
