"""Tests of when the garbage collector looks at all objects."""

import gc

from cicadatray.internal.control.garbage_collection import postpone_full_collections


def test_only_full_collections_are_postponed() -> None:
    """Guards against collections that hold the event loop for longer the more jobs wait."""
    before = gc.get_threshold()
    try:
        postpone_full_collections()
        young, middle, full = gc.get_threshold()
    finally:
        gc.set_threshold(*before)
    assert (young, middle) == before[:2]
    assert full >= 50 * before[2]
