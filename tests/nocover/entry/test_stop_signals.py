"""Tests of stop signals to an entry process with requests in progress."""

import asyncio
import signal
from pathlib import Path

import msgspec

from cicadatray.internal.bench.deployment.caller import Caller, CallerAnswer
from cicadatray.internal.bench.deployment.deployment_plan import DeploymentPlan
from cicadatray.internal.bench.deployment.local_deployment import LocalDeployment
from cicadatray.internal.bench.deployment.operator import Operator
from cicadatray.internal.standins.endpoint import EndpointWork

CREDENTIAL = "credential"
PLAN = DeploymentPlan(controls=1, entries=1, endpoints=2, workers=1)


async def send(caller: Caller, subject: str, work_s: float, non_idempotent: bool) -> CallerAnswer:
    headers = {
        "Idempotency-Key": subject,
        "Request-Non-Idempotent": "true" if non_idempotent else "false",
    }
    body = msgspec.json.encode(EndpointWork(subject, work_s))
    return await caller.send_once("POST", f"/v1/services/{PLAN.service}/requests", body, headers)


async def stop_with_requests(deployment: LocalDeployment, signals: int) -> list[CallerAnswer]:
    operator = Operator(deployment)
    await operator.wait_until_ready()
    await operator.set_accounts({"acueducto": CREDENTIAL})
    await operator.set_inventory()
    caller = Caller(deployment.entry_urls(), CREDENTIAL)
    while (await send(caller, "warm-up", 0.0, False)).outcome != "completed":
        await asyncio.sleep(0.2)
    sends = [send(caller, f"r-{n}", 6.0, non_idempotent=n % 2 == 0) for n in range(4)]
    sending = [asyncio.create_task(coroutine) for coroutine in sends]
    await asyncio.sleep(1.0)
    for _ in range(signals):
        deployment.handles["entry-0"].send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
    return await asyncio.gather(*sending)


def run(folder: Path, signals: int) -> list[CallerAnswer]:
    deployment = LocalDeployment(folder, PLAN)
    try:
        deployment.start()
        answers = asyncio.run(stop_with_requests(deployment, signals))
        exit_codes = deployment.stop()
    finally:
        deployment.kill()
    assert exit_codes["entry-0"] == 0
    return answers


def test_the_first_signal_interrupts_no_request(tmp_path: Path) -> None:
    """Guards against a planned stop that closes connections with requests in progress."""
    answers = run(tmp_path, signals=1)
    assert [answer.outcome for answer in answers] == ["completed"] * 4


def test_the_second_signal_answers_running_requests_as_unknown(tmp_path: Path) -> None:
    """Guards against a 500 or a closed connection instead of the true outcome."""
    answers = run(tmp_path, signals=2)
    assert [answer.outcome for answer in answers] == ["outcome_unknown"] * 4
    assert all(answer.retry_after_s > 0 for answer in answers)
