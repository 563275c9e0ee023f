"""Turns a data folder into what a loss of power may leave of it."""

import random
import shutil
from pathlib import Path

import msgspec

from nocover.configuration_soak.durable_copy import NAMES_FILE, read_durable_names, read_names


def lose_power(data_folder: Path, copy_folder: Path, source: random.Random) -> None:
    """Replaces the files of a stopped process by what a loss of power leaves.

    Each name that was created, renamed or removed without a sync of the folder is kept or lost
    independently. Bytes that were written after the last sync of their file are there, missing or
    torn; in half of the cases all of them are gone.
    """
    if not data_folder.exists():
        return
    keeps_unsynced = source.random() < 0.5
    present, durable = read_names(data_folder), read_durable_names(copy_folder)
    contents = {number: (data_folder / name).read_bytes() for name, number in present.items()}
    left: dict[str, bytes] = {}
    for name in sorted({*present, *durable}):
        candidates = {present.get(name), durable.get(name)}
        number = source.choice(sorted(candidates, key=str))
        if number is None:
            continue
        path = copy_folder / str(number)
        synced = path.read_bytes() if path.exists() else b""
        written = contents.get(number, synced)
        left[name] = _torn(synced, written, source) if keeps_unsynced else synced
    _rewrite(data_folder, copy_folder, left)


def _torn(synced: bytes, written: bytes, source: random.Random) -> bytes:
    choice = source.choice(("old", "new", "torn", "zeros"))
    if choice == "old" or synced == written:
        return synced
    if choice == "new":
        return written
    if not written.startswith(synced):
        cut = source.randint(0, min(len(synced), len(written)))
        return written[:cut] + synced[cut:]
    cut = source.randint(len(synced), len(written))
    return written[:cut] + (bytes(len(written) - cut) if choice == "zeros" else b"")


def _rewrite(data_folder: Path, copy_folder: Path, left: dict[str, bytes]) -> None:
    for folder in (data_folder, copy_folder):
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
    for name, content in left.items():
        (data_folder / name).write_bytes(content)
    names = read_names(data_folder)
    for name, number in names.items():
        (copy_folder / str(number)).write_bytes(left[name])
    (copy_folder / NAMES_FILE).write_bytes(msgspec.json.encode(names))
