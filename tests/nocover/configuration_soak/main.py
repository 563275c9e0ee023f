"""Plays the soak by hand: `./build.sh soak --seeds 1 20 --shape affiche-sched`."""

import argparse
import asyncio
import sys
from pathlib import Path

import msgspec

from nocover.configuration_soak.disturbance_registry import DISTURBANCES
from nocover.configuration_soak.invalid_documents import INVALID_DOCUMENTS
from nocover.configuration_soak.play import Play, PlayReport
from nocover.configuration_soak.site_shape import SHAPES
from nocover.job_soak.job_play import JobPlay

ROOT = Path(__file__).resolve().parents[3]
# The second part of the loopback addresses of the first play; one for each play at a time.
FIRST_NETWORK = 64


async def run_plays(arguments: argparse.Namespace) -> list[PlayReport]:
    """Runs one play for each seed, `--parallel` at a time."""
    networks: asyncio.Queue[int] = asyncio.Queue()
    for number in range(arguments.parallel):
        networks.put_nowait(arguments.network + number)

    async def run_one(seed: int) -> PlayReport:
        network = await networks.get()
        folder = arguments.folder / f"{arguments.shape}-{seed}"
        folder.mkdir(parents=True)
        shape = SHAPES[arguments.shape]
        play = (JobPlay if shape.workers else Play)(
            shape,
            folder,
            arguments.checkout,
            seed,
            network,
            () if arguments.only_valid else tuple(INVALID_DOCUMENTS),
        )
        report = await play.run(seed, arguments.seconds)
        (folder / "events.txt").write_text("\n".join(play.site.findings.events), encoding="utf-8")
        (folder / "report.json").write_bytes(msgspec.json.encode(report))
        print(msgspec.json.encode(report).decode(), flush=True)
        networks.put_nowait(network)
        return report

    first, last = arguments.seeds
    return await asyncio.gather(*(run_one(seed) for seed in range(first, last + 1)))


def main() -> None:
    """Entry point of `./build.sh soak`."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument(
        "--shape",
        choices=list(SHAPES),
        default="affiche-sched",
        help="those with agents, workers and jobs begin with `jobs`",
    )
    parser.add_argument("--seeds", nargs=2, type=int, default=(1, 1), metavar=("FIRST", "LAST"))
    parser.add_argument("--seconds", type=float, default=60.0, help="the disturbed part of a play")
    parser.add_argument("--parallel", type=int, default=1, help="plays at the same time")
    parser.add_argument("--folder", type=Path, required=True, help="a new folder for logs and data")
    parser.add_argument("--checkout", type=Path, default=ROOT, help="the code that is played")
    parser.add_argument("--network", type=int, default=FIRST_NETWORK)
    parser.add_argument(
        "--only-valid", action="store_true", help="send invalid documents only at the end"
    )
    parser.add_argument(
        "--without", action="append", default=[], help="a disturbance that is not played"
    )
    arguments = parser.parse_args()
    for name in arguments.without:
        del DISTURBANCES[name]
    reports = asyncio.run(run_plays(arguments))
    sys.exit(1 if any(report.findings for report in reports) else 0)


if __name__ == "__main__":
    main()
