"""A journal of the outcomes that callers got, and checks that they agree with the runs."""

from deployment import Deployment

from cicadatray.internal.bench.requests_simulation.simulated_endpoint import (
    Execution,
    SimulatedEndpoint,
)
from cicadatray.internal.entry.request_outcome import OutcomeKind, RequestOutcome

FINAL_UNKNOWN_CODES = frozenset({"agent_lost"})


class NumberedEndpoint(SimulatedEndpoint):
    """An endpoint that gives a different answer to each run."""

    __slots__ = ("name",)

    def answer_to(self, body: bytes) -> bytes:
        """Returns an answer that names the endpoint and the run."""
        text = b"%s run %d of %s" % (body, len(self.history), self.name)
        return text.ljust(self.answer_bytes, b".") + b"!"


class RequestJournal:
    """The outcomes of all requests by key, in the order of their arrival."""

    __slots__ = ("answers", "deployment", "faults", "not_run_traces")

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.answers: dict[str, list[RequestOutcome]] = {}
        self.faults: list[str] = []
        self.not_run_traces: set[str] = set()

    def record(self, key: str, trace_id: str, outcome: RequestOutcome, overlapped: bool) -> None:
        """Records an outcome; `overlapped` is whether another send of the key was in progress."""
        self.answers.setdefault(key, []).append(outcome)
        if outcome.kind is OutcomeKind.NOT_RUN:
            self.not_run_traces.add(trace_id)
            runs = self.deployment.executions(key)
            if runs and not overlapped and key.startswith("once"):
                self.faults.append(
                    f"{key}: reported as not run ({outcome.code}) but ran {runs} times"
                )
        if outcome.kind is OutcomeKind.COMPLETED:
            is_own = outcome.body.startswith(key.encode() + b" run ")
            if not is_own or not outcome.body.endswith(b"!"):
                self.faults.append(f"{key}: wrong or truncated answer {outcome.body[:60]!r}")

    def check(self) -> None:
        """Checks the conditions that must hold at all times."""
        assert not self.faults, self.faults
        runs: list[Execution] = []
        for agent in self.deployment.agents:
            runs += agent.endpoint.history
        for run in runs:
            assert run.trace_id not in self.not_run_traces, f"{run} was reported as not run"
        for key, answers in self.answers.items():
            if key.startswith("once"):
                assert self.deployment.executions(key) <= 1, f"{key} ran more than once"
                self._check_answers(key, answers)

    def _check_answers(self, key: str, answers: list[RequestOutcome]) -> None:
        completed = [answer for answer in answers if answer.kind is OutcomeKind.COMPLETED]
        assert len({outcome.body for outcome in completed}) <= 1, f"{key}: different answers"
        has_completed = False
        for outcome in answers:
            if has_completed:
                assert outcome.kind is not OutcomeKind.NOT_RUN, f"{key}: completed, then not run"
            has_completed |= outcome.kind is OutcomeKind.COMPLETED
        codes = [outcome.code for outcome in answers]
        for code in FINAL_UNKNOWN_CODES & set(codes):
            later = answers[codes.index(code) + 1 :]
            assert all(outcome.kind is OutcomeKind.UNKNOWN for outcome in later), (key, codes)
