"""Tests of the generated settings reference."""

from pathlib import Path

from cicadatray.internal.settings.reference import render_reference

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


def test_committed_page_is_current() -> None:
    """Guards against a page that no longer matches the types; `./build.sh reference` updates it."""
    assert PAGE.read_text(encoding="utf-8") == render_reference()
