"""Tests that the example files of each deployment are consistent."""

from pathlib import Path

import pytest

from cicadatray.internal.asset_register.import_accounts import import_accounts
from cicadatray.internal.asset_register.import_inventory import import_inventory
from cicadatray.internal.asset_register.import_rules import import_rules
from cicadatray.internal.settings.agent_settings import AgentSettings
from cicadatray.internal.settings.load import load_settings
from cicadatray.scheduling.check_configuration import check_configuration

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("deployment", ["cartago", "port-louis"])
def test_documents_and_settings_are_consistent(deployment: str) -> None:
    """Guards against examples that are valid one by one but refused when used together."""
    folder = EXAMPLES / deployment
    (register,) = folder.glob("register.*")
    inventory = import_inventory(register.read_bytes(), register.name)
    rules = import_rules((folder / "rules.json").read_bytes(), "rules.json")
    accounts = import_accounts((folder / "accounts.json").read_bytes(), "accounts.json")
    names = frozenset(account.client_account for account in accounts.accounts)
    assert check_configuration(inventory, rules, names) == []
    sites = {worker.data_centre for worker in inventory.workers}
    # The pattern excludes the register, rules and accounts; the next line adds the agents.
    settings = [load_settings(path) for path in folder.glob("[!ra]*.json")]
    settings += [load_settings(path) for path in folder.glob("agent-*.json")]
    assert len(settings) == 4 and {item.data_centre for item in settings} <= sites
    agents = [item for item in settings if isinstance(item, AgentSettings) and item.worker]
    workers = {worker.worker_id for worker in inventory.workers}
    assert agents and all(item.worker and item.worker.worker_id in workers for item in agents)
