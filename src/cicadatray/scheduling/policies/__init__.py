"""Scheduling policies; importing this package registers all of them."""

from cicadatray.scheduling.policies.best_fit_backfill import BestFitBackfillPolicy
from cicadatray.scheduling.policies.compact import CompactPolicy
from cicadatray.scheduling.policies.first_fit import FirstFitPolicy
from cicadatray.scheduling.policies.swift import SwiftPolicy
from cicadatray.scheduling.registry import find_policy

__all__ = [
    "BestFitBackfillPolicy",
    "CompactPolicy",
    "FirstFitPolicy",
    "SwiftPolicy",
    "find_policy",
]
