"""Draws the disturbances of one run from a seed."""

from random import Random

from cicadatray.internal.bench.graph_experiment.disturbances import (
    CALM,
    Disturbances,
    DisturbanceSheet,
    Spell,
)
from cicadatray.internal.bench.graph_experiment.load_sheet import LoadSheet

# Disturbances begin while jobs arrive, after the first have filled the workers.
EARLIEST_S = 6.0
LATEST_S = 45.0
# Keeps the disturbances of a seed independent of its jobs.
SEED_OFFSET = 1_000_000


def draw_disturbances(sheet: LoadSheet, seed: int) -> Disturbances:
    """Returns the disturbances of the sheet, the same for the same seed."""
    rates = sheet.disturbances
    if rates is None:
        return CALM
    random = Random(seed + SEED_OFFSET)
    workers = [sheet.worker_id(number) for number in range(sheet.workers)]
    return Disturbances(
        silences=tuple(
            _draw_spell(random, workers, rates.silent_share, rates.silence_s)
            for _ in range(rates.silences)
        ),
        outages=tuple(
            _draw_spell(random, workers, 0.0, rates.outage_s) for _ in range(rates.outages)
        ),
        slow_spells=tuple(
            _draw_slow_spell(random, workers, rates) for _ in range(rates.slow_spells)
        ),
    )


def _draw_spell(
    random: Random, workers: list[str], share: float, lasts_s: tuple[float, float]
) -> Spell:
    from_s = random.uniform(EARLIEST_S, LATEST_S)
    chosen = random.sample(workers, round(share * len(workers)))
    return Spell(frozenset(chosen), from_s, from_s + random.uniform(*lasts_s))


def _draw_slow_spell(random: Random, workers: list[str], rates: DisturbanceSheet) -> Spell:
    spell = _draw_spell(random, workers, rates.slow_share, rates.slow_s)
    factor = random.uniform(*rates.slow_factor)
    return Spell(spell.worker_ids, spell.from_s, spell.until_s, factor)
