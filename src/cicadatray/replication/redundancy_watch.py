"""Tells when a leader's group bears more or fewer lost disks than before."""

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

from cicadatray.replication.redundancy import Redundancy, VoterContact, assess_redundancy

if TYPE_CHECKING:
    from cicadatray.replication.leadership import Leadership

# Short against the time in which the group replaces a voter, about 2 s.
WATCH_INTERVAL_S = 0.25

log = structlog.get_logger(__name__)


def current_redundancy(leadership: "Leadership") -> Redundancy:
    """Returns what the leader knows about its voters now."""
    core = leadership.core
    contacts = []
    for record in core.membership.voters():
        peer = leadership.peers.get(record.identity)
        silence_s, match_index = math.inf, 0
        if record.identity == core.identity:
            silence_s, match_index = 0.0, leadership.durable_index
        elif peer is not None:
            silence_s, match_index = core.now_s() - peer.acked_sent_s, peer.match_index
        contacts.append(VoterContact(record.member.member_id, silence_s, match_index))
    return assess_redundancy(contacts, core.membership.quorum(), core.applier.commit_index)


async def watch_redundancy(leadership: "Leadership") -> None:
    """Logs changes until it is cancelled."""
    known: Redundancy | None = None
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        present = current_redundancy(leadership)
        if known is None or _differ(known, present):
            log.info(
                "redundancy changed",
                member=leadership.core.settings.member_id,
                term=leadership.term,
                lost_disks_borne=present.tolerated_disk_losses,
                wanted_voters=leadership.core.settings.group_size,
                voters=list(present.voters),
                quorum=present.quorum,
                missing=list(present.missing),
                behind=list(present.behind),
            )
            known = present


def _differ(known: Redundancy, present: Redundancy) -> bool:
    """Ignores voters that are behind for a moment, as every voter is while entries arrive."""
    return (known.tolerated_disk_losses, known.voters, known.missing) != (
        present.tolerated_disk_losses,
        present.voters,
        present.missing,
    )
