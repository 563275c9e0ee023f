"""Logs changes in the number of disk losses that a leader's group tolerates."""

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

from cicadatray.replication.redundancy import Redundancy, VoterContact, assess_redundancy

if TYPE_CHECKING:
    from cicadatray.replication.leadership import Leadership

# Short compared with the time in which the group replaces a voter, about 2 s.
WATCH_INTERVAL_S = 0.25

log = structlog.get_logger(__name__)


def current_redundancy(leadership: "Leadership") -> Redundancy:
    """Returns the redundancy of the group as the leader sees its voters now."""
    core = leadership.core
    contacts = []
    for record in core.membership.voters():
        peer = leadership.peers.get(record.identity)
        contact_age_s, match_index = math.inf, 0
        if record.identity == core.identity:
            contact_age_s, match_index = 0.0, leadership.durable_index
        elif peer is not None:
            contact_age_s, match_index = core.now_s() - peer.last_acked_send_s, peer.match_index
        contacts.append(VoterContact(record.member.member_id, contact_age_s, match_index))
    return assess_redundancy(contacts, core.membership.quorum(), core.applier.commit_index)


async def watch_redundancy(leadership: "Leadership") -> None:
    """Logs the redundancy at the start and after each change, until cancelled."""
    last_logged: Redundancy | None = None
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        current = current_redundancy(leadership)
        if last_logged is None or _has_changed(last_logged, current):
            log.info(
                "redundancy changed",
                member=leadership.core.settings.member_id,
                term=leadership.term,
                lost_disks_borne=current.tolerated_disk_losses,
                wanted_voters=leadership.core.settings.group_size,
                voters=list(current.voters),
                quorum=current.quorum,
                missing=list(current.missing),
                behind=list(current.behind),
            )
            last_logged = current


def _has_changed(last_logged: Redundancy, current: Redundancy) -> bool:
    """Returns whether the change is logged.

    Voters that are behind are ignored, because every voter is behind briefly while entries arrive.
    """
    return (last_logged.tolerated_disk_losses, last_logged.voters, last_logged.missing) != (
        current.tolerated_disk_losses,
        current.voters,
        current.missing,
    )
