"""Names in state dumps, which scripts of operators read."""

from pathlib import Path

import msgspec
import pytest

from cicadatray.internal.agent.agent_description import AgentDescription, AttemptsDescription
from cicadatray.internal.control.control_description import (
    AgentSummary,
    ControlDescription,
    GangSummary,
    LeaderSummary,
)
from cicadatray.internal.entry.entry_description import (
    EntryDescription,
    PeerDescription,
    RequestDescription,
    ServiceDescription,
)
from cicadatray.replication.description import MemberDescription, ReplicaDescription

OPERATIONS_PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


@pytest.mark.parametrize(
    ("struct", "names"),
    [
        (
            ReplicaDescription,
            "member_id identity group_id role term leader_id last_index commit_index applied_index"
            " snapshot_index first_index_held log_bytes held_bytes leader_contact_age_s failure"
            " members",
        ),
        (
            MemberDescription,
            "member_id host port identity is_voter match_index last_contact_age_s fault",
        ),
        (
            ControlDescription,
            "replica configuration_version configuration_operator jobs_by_state keys_by_state"
            " gangs leader evacuations",
        ),
        (AgentSummary, "agent_id incarnation address silent_s tasks draining"),
        (GangSummary, "job_id client_account state epoch reason"),
        (LeaderSummary, "term leading_s directory_version agents"),
        (
            EntryDescription,
            "draining configuration_version configuration_age_s directory_term queue_limit waiting"
            " retry_balance services peers requests_in_progress background_attempts requests",
        ),
        (ServiceDescription, "service slots turns in_use mean_hold_s waiting"),
        (
            PeerDescription,
            "agent_id incarnation service health failures_in_row ejections ejected_for_s running"
            " queued slots in_flight draining",
        ),
        (
            RequestDescription,
            "trace_id client_account service non_idempotent age_s remaining_s callers",
        ),
        (AgentDescription, "agent_id incarnation draining lease_left_s tasks attempts"),
        (
            AttemptsDescription,
            "running queued slots draining mean_run_s in_progress ended held_bytes limit_bytes"
            " forgotten_index",
        ),
    ],
    ids=lambda value: value.__name__ if isinstance(value, type) else "",
)
def test_names_of_a_dump_stay(struct: type[msgspec.Struct], names: str) -> None:
    """Guards against renaming a field that an operator's script reads.

    A new field may be added here; OPERATIONS says what it means.
    """
    assert list(struct.__struct_fields__) == names.split()


@pytest.mark.parametrize("struct", [EntryDescription, AgentDescription, ControlDescription])
def test_operations_explains_each_field(struct: type[msgspec.Struct]) -> None:
    """Guards against a dump whose fields an operator has to look up in the code."""
    page = OPERATIONS_PAGE.read_text(encoding="utf-8")
    assert [name for name in struct.__struct_fields__ if f"`{name}" not in page] == []
