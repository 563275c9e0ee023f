"""One job with many steps that can all start at once."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_3"))

from case import run_case  # noqa: E402
from large_job import SMALL, play_large_job  # noqa: E402

PRIORITY = 1
# A body of 140 KB; the configuration allows 256 KiB.
STEPS = 2000 * SMALL


def play(deployment):
    return play_large_job(deployment, PRIORITY, STEPS)


run_case(play, 3, FOLDER)
