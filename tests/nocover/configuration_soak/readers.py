"""Readers of the configuration at one daemon."""

import asyncio

import msgspec

from nocover.configuration_soak.http_caller import Answer, HttpCaller
from nocover.configuration_soak.machine import CONTROL, Machine
from nocover.configuration_soak.operators import PATH
from nocover.configuration_soak.site import Site

READ_TIMEOUT_S = 3.0
LONGEST_PAUSE_S = 0.12


class VersionField(msgspec.Struct):
    """The part of a configuration that names its version."""

    Version: int


async def read_repeatedly(site: Site, machine: Machine) -> None:
    """Reads the configuration at one machine until it is cancelled or the machine is gone."""
    caller = HttpCaller(machine.host, CONTROL, READ_TIMEOUT_S)
    try:
        while machine in site.machines:
            await read_once(site, caller)
            await asyncio.sleep(site.random.uniform(0.01, LONGEST_PAUSE_S))
    finally:
        caller.close()


async def read_once(site: Site, caller: HttpCaller) -> bool:
    """Reads and judges once; returns whether a configuration came."""
    answer = await caller.call("GET", PATH)
    if answer.status != 200:
        site.findings.counts["reads without an answer"] += 1
        if 400 <= answer.status < 500:
            site.findings.report("read refused", f"{answer.status} at {caller.host}")
        return False
    site.findings.counts["reads"] += 1
    _judge(site, caller.host, answer)
    return True


def _judge(site: Site, host: str, answer: Answer) -> None:
    version = msgspec.json.decode(answer.body, type=VersionField).Version
    sent = site.versions.versions.get(version)
    where = f"version {version} at {host}, {answer.decided_by}"
    if sent is None:
        site.findings.report("invalid document read", where)
        return
    if answer.body not in sent.bodies:
        site.findings.report("other content read", where)
        return
    position = sent.bodies.index(answer.body)
    if sent.pinned not in (None, position):
        site.findings.report("other content read", where)
    sent.pinned = position
    lowest = site.versions.floor(answer.sent_s)
    if version < lowest:
        newest = site.versions.versions[lowest]
        age_s = answer.sent_s - newest.confirmed_s
        kind = "older version read"
        site.findings.report(kind, f"{where}; {lowest} was confirmed {age_s:.3f} s before")
    site.versions.record_known(version, answer.answered_s)
