"""Configures a deployment through the operators' HTTP interface."""

import asyncio
import hashlib

import msgspec

from cicadatray.internal.bench.deployment.caller import Caller, CallerAnswer
from cicadatray.internal.bench.deployment.local_deployment import DATA_CENTRES, LocalDeployment
from cicadatray.internal.entry.http_operators import VersionDocument
from cicadatray.internal.settings.common import ControlMember
from cicadatray.internal.wire.messages.configuration_messages import AccountRecord, Accounts
from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.rules import Rules

READY_TIMEOUT_S = 120.0
READY_POLL_S = 0.2
MEMBER_CHANGE_TIMEOUT_S = 30.0


class ConfigurationView(msgspec.Struct):
    """The part of the configuration answer that a change needs."""

    version: int


class DirectoryView(msgspec.Struct):
    """The part of an entry's directory answer that shows its state."""

    configuration_version: int
    agents: list[msgspec.Raw]


class RulesView(msgspec.Struct):
    """The version in effect and its rules."""

    version: int
    rules: Rules


class ReplicaView(msgspec.Struct):
    """The part of a dump that names the leader."""

    leader_id: str | None


class ControlView(msgspec.Struct):
    """The control section of a dump."""

    replica: ReplicaView


class DumpView(msgspec.Struct):
    """A dump of a control instance."""

    control: ControlView


class SetupError(Exception):
    """The deployment did not become ready."""


class Operator:
    """Calls the operators' HTTP interface of a deployment."""

    __slots__ = ("caller", "deployment", "operation_count")

    def __init__(self, deployment: LocalDeployment) -> None:
        self.deployment = deployment
        self.caller = Caller(deployment.entry_urls(), deployment.operator_credential)
        self.operation_count = 0

    async def wait_until_ready(self) -> None:
        """Waits until every entry lists every agent.

        Raises:
            SetupError: an entry did not list them all in time.
        """
        expected = self.deployment.plan.endpoints + self.deployment.plan.workers
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline_s:
            views = [await self._read_directory(url) for url in self.deployment.entry_urls()]
            if all(view is not None and len(view.agents) == expected for view in views):
                return
            await asyncio.sleep(READY_POLL_S)
        raise SetupError(f"not every entry lists {expected} agents")

    async def wait_until_in_effect(self, version: int) -> float:
        """Waits until every entry uses at least this version; returns the seconds that it took.

        Raises:
            SetupError: an entry did not reach the version in time.
        """
        started_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < started_s + READY_TIMEOUT_S:
            views = [await self._read_directory(url) for url in self.deployment.entry_urls()]
            if all(view is not None and view.configuration_version >= version for view in views):
                return asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(READY_POLL_S)
        raise SetupError(f"version {version} is not in effect at every entry")

    async def version(self) -> int:
        """Returns the version in effect."""
        answer = await self.caller.send("GET", "/v1/configuration")
        if answer.status_code != 200:
            raise SetupError(f"cannot read the configuration: {answer}")
        return msgspec.json.decode(answer.body, type=ConfigurationView).version

    async def replace(self, kind: str, document: object) -> int:
        """Replaces one document and returns the new version."""
        self.operation_count += 1
        body = {
            "document": document,
            "replaces_version": await self.version(),
            "operation_id": f"setup-{self.operation_count}",
        }
        answer = await self.caller.send(
            "PUT", f"/v1/configuration/{kind}", msgspec.json.encode(body)
        )
        if answer.status_code != 200:
            raise SetupError(f"{kind} refused: {answer}")
        return msgspec.json.decode(answer.body, type=VersionDocument).version

    async def set_accounts(self, credentials: dict[str, str]) -> int:
        """Sets client accounts with their credentials, and retains the operator's account."""
        records = [AccountRecord("operator", _digest(self.deployment.operator_credential), True)]
        records += [AccountRecord(name, _digest(value)) for name, value in credentials.items()]
        return await self.replace("accounts", Accounts(tuple(records)))

    async def set_inventory(self) -> int:
        """Sets the inventory of the stand-in workers."""
        plan = self.deployment.plan
        workers = [
            WorkerRecord(
                worker_id=f"worker-{i}",
                data_centre=DATA_CENTRES[0],
                rack=f"rack-{i * plan.racks // plan.workers}",
                accelerators=plan.accelerators,
                cores=64,
                memory_gb=128,
                member="cartago",
            )
            for i in range(plan.workers)
        ]
        return await self.replace("inventory", Inventory(tuple(workers)))

    async def set_rules(self, rules: Rules) -> int:
        """Sets the rules."""
        return await self.replace("rules", rules)

    async def leader_name(self) -> str:
        """Returns the name of the control instance that leads.

        Raises:
            SetupError: no control instance reports a leader.
        """
        for member in self.deployment.control_members:
            answer = await self.caller.send_once("GET", f"/v1/processes/{member.name}/dump")
            if answer.status_code != 200:
                continue
            dump = msgspec.json.decode(answer.body, type=DumpView)
            if dump.control.replica.leader_id:
                return dump.control.replica.leader_id
        raise SetupError("no control instance reports a leader")

    async def change_member(self, action: str, member: ControlMember) -> None:
        """Changes the membership of the control group, with retries until it is accepted.

        Raises:
            SetupError: the change was not accepted in time.
        """
        body = {"action": action, "name": member.name, "host": member.host, "port": member.port}
        deadline_s = asyncio.get_running_loop().time() + MEMBER_CHANGE_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline_s:
            answer = await self.caller.send_once("POST", "/v1/members", msgspec.json.encode(body))
            if answer.status_code == 200:
                return
            await asyncio.sleep(READY_POLL_S)
        raise SetupError(f"{action} {member.name} refused: {answer}")

    async def rewrite_rules(self) -> int:
        """Replaces the rules by identical ones, which creates a new version."""
        answer = await self.caller.send("GET", "/v1/configuration")
        rules = msgspec.json.decode(answer.body, type=RulesView).rules
        return await self.replace("rules", rules)

    async def race_changes(self) -> bool:
        """Sends two concurrent changes of one version and resends both.

        Returns whether exactly one was accepted and the resends gave the same outcomes.
        """
        answer = await self.caller.send("GET", "/v1/configuration")
        view = msgspec.json.decode(answer.body, type=RulesView)
        urls = self.deployment.entry_urls()
        sends = [self._send_race_change(view, side, urls[side % len(urls)]) for side in (0, 1)]
        first = await asyncio.gather(*sends)
        resent = await asyncio.gather(
            *(self._send_race_change(view, side, urls[(side + 1) % len(urls)]) for side in (0, 1))
        )
        statuses = sorted(answer.status_code for answer in first)
        is_repeated = all(
            a.status_code == b.status_code for a, b in zip(first, resent, strict=True)
        )
        return statuses == [200, 409] and is_repeated and await self.version() == view.version + 1

    async def _send_race_change(self, view: RulesView, side: int, url: str) -> CallerAnswer:
        body = {
            "document": view.rules,
            "replaces_version": view.version,
            "operation_id": f"race-{view.version}-{side}",
        }
        path = "/v1/configuration/rules"
        return await self.caller.send_once("PUT", path, msgspec.json.encode(body), url=url)

    async def _read_directory(self, url: str) -> DirectoryView | None:
        answer = await self.caller.send_once("GET", "/v1/directory", url=url)
        if answer.status_code != 200:
            return None
        return msgspec.json.decode(answer.body, type=DirectoryView)


def _digest(credential: str) -> str:
    return hashlib.sha256(credential.encode()).hexdigest()
