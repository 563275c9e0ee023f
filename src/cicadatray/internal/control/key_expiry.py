"""Expiry of old keys in the replicated state."""

import time

from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.wire.messages.key_messages import ExpireKeys

# Longer than callers resend a request: the longest deadline of a request is an hour.
KEY_RETENTION_S = 24 * 3600.0
EXPIRY_INTERVAL_S = 60.0


class KeyExpiry:
    """Proposes the expiry of keys periodically while this instance leads."""

    __slots__ = ("next_check_s", "session")

    def __init__(self, session: LeaderSession) -> None:
        self.session = session
        self.next_check_s = session.now_s() + EXPIRY_INTERVAL_S

    async def expire_old_keys(self) -> None:
        """Proposes one expiry command if it is due and the oldest key has expired.

        Raises:
            LeadershipLostError: the command could not be committed.
        """
        if self.session.now_s() < self.next_check_s:
            return
        self.next_check_s = self.session.now_s() + EXPIRY_INTERVAL_S
        before_s = time.time() - KEY_RETENTION_S
        oldest = next(iter(self.session.state.keys.values()), None)
        if oldest is not None and oldest.claimed_at_s < before_s:
            await self.session.propose(ExpireKeys(claimed_before_s=before_s))
