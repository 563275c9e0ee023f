"""Disturbances of emulated workers and of control."""

import msgspec


class DisturbanceSheet(msgspec.Struct, frozen=True, kw_only=True):
    """How often and how long a deployment is disturbed in one run of the experiment.

    `silences`, `outages` and `slow_spells` are numbers of events. A silence concerns
    `silent_share` of the workers at once, a slow spell `slow_share`. Pairs are the limits between
    which a duration in seconds, or the factor of a slow worker, is drawn.
    """

    silences: int = 0
    silent_share: float = 0.25
    silence_s: tuple[float, float] = (5.0, 6.0)
    outages: int = 0
    outage_s: tuple[float, float] = (2.0, 5.0)
    slow_spells: int = 0
    slow_share: float = 0.17
    slow_s: tuple[float, float] = (5.0, 7.0)
    slow_factor: tuple[float, float] = (4.0, 6.0)


class Spell(msgspec.Struct, frozen=True):
    """A disturbance of some workers between two times; no workers stand for control.

    Tasks on the workers take `factor` times as long.
    """

    worker_ids: frozenset[str]
    from_s: float
    until_s: float
    factor: float = 1.0

    def is_on(self, now_s: float) -> bool:
        """Returns whether the spell lasts at this time."""
        return self.from_s <= now_s < self.until_s


class Disturbances(msgspec.Struct, frozen=True):
    """The disturbances of one run of the experiment.

    Control hears nothing from silent workers, which hear nothing from it; their tasks go on.
    Control neither places nor stops anything in an outage, nor records an end.
    """

    silences: tuple[Spell, ...] = ()
    outages: tuple[Spell, ...] = ()
    slow_spells: tuple[Spell, ...] = ()

    def is_control_out(self, now_s: float) -> bool:
        """Returns whether control does nothing at this time."""
        return any(spell.is_on(now_s) for spell in self.outages)

    def silent_s(self, worker_id: str, now_s: float) -> float:
        """Returns for how many seconds the worker has been silent; 0 if it is not."""
        return max(
            (
                now_s - spell.from_s
                for spell in self.silences
                if spell.is_on(now_s) and worker_id in spell.worker_ids
            ),
            default=0.0,
        )

    def is_silent(self, worker_id: str, now_s: float) -> bool:
        """Returns whether the worker and control hear nothing from each other."""
        return any(s.is_on(now_s) and worker_id in s.worker_ids for s in self.silences)

    def lease_end_s(self, worker_id: str, from_s: float, now_s: float, lease_s: float) -> float:
        """Returns when the worker ended all its runs because its lease expired after `from_s`.

        The result is infinite if that has not happened until `now_s`.
        """
        ends_s = [
            spell.from_s + lease_s
            for spell in self.silences
            if worker_id in spell.worker_ids and spell.from_s + lease_s < spell.until_s
        ]
        return min((end for end in ends_s if from_s < end <= now_s), default=float("inf"))

    def slow_factor(self, worker_id: str, now_s: float) -> float:
        """Returns how many times as long tasks on the worker take now."""
        factors = [
            s.factor for s in self.slow_spells if s.is_on(now_s) and worker_id in s.worker_ids
        ]
        return max(factors, default=1.0)


CALM = Disturbances()
