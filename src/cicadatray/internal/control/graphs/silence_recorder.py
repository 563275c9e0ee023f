"""Commits for how long silent workers have been without a renewal of their leases."""

import asyncio

import structlog

from cicadatray.internal.control.graphs.graph_session import AGENTS_RETURN_S, GraphSession
from cicadatray.internal.control.graphs.placement_input import SILENCE_LIMIT_S
from cicadatray.internal.wire.messages.silence_messages import RecordSilences, WorkerSilence

# At most this much of a worker's silence is counted again by the next leader.
RECORD_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


class SilenceRecorder:
    """Records the silences of workers on which runs may exist, once per interval.

    The next leader counts on from them, so that changes of leader do not delay the restart of work
    whose worker is gone. Without such workers nothing is committed.
    """

    __slots__ = ("session",)

    def __init__(self, session: GraphSession) -> None:
        self.session = session

    async def run(self) -> None:
        """Records silences until leadership is lost.

        Raises:
            LeadershipLostError: a command could not be committed.
        """
        while True:
            await asyncio.sleep(RECORD_INTERVAL_S)
            await self._record()

    async def _record(self) -> None:
        session = self.session
        recorded = session.leader.state.graphs.silences
        silences = tuple(
            WorkerSilence(worker_id, session.silence_s(worker_id))
            for worker_id, runs in session.ordered_runs.items()
            if runs and self._is_silent(worker_id)
        )
        if not silences and not recorded:
            return
        new = [silence for silence in silences if silence.worker_id not in recorded]
        # Nothing is awaited between computing the silences and their proposal, so that no lease is
        # renewed in between.
        number = session.proposed_silences.add(silence.worker_id for silence in silences)
        await session.leader.propose(RecordSilences(silences=silences))
        session.proposed_silences.settle(number)
        for silence in new:
            log.info(
                "worker silence recorded",
                worker=silence.worker_id,
                silence_s=round(silence.silence_s, 1),
                runs=len(session.ordered_runs.get(silence.worker_id, {})),
            )

    def _is_silent(self, worker_id: str) -> bool:
        """Returns whether a worker's lease has not been renewed and is not about to be."""
        worker = self.session.workers.get(worker_id)
        silence_s = self.session.silence_s(worker_id)
        if worker is None:
            return silence_s >= AGENTS_RETURN_S
        return silence_s > SILENCE_LIMIT_S and not worker.pending_renewals
