"""Handlers of calls about the directory of agents and the configuration."""

from typing import TYPE_CHECKING

from cicadatray.internal.control.graphs.evacuation_limits import EvacuationLimits
from cicadatray.internal.control.handler_registry import register_handler
from cicadatray.internal.control.leader_session import LeaderSession
from cicadatray.internal.control.leases import AGENT_TIMEOUT_S, LEASE_S
from cicadatray.internal.wire.message import Failure, MessageStruct
from cicadatray.internal.wire.messages.configuration_messages import (
    ChangeConfiguration,
    ConfigurationReply,
    HistoryReply,
    ReadConfiguration,
    ReadHistory,
)
from cicadatray.internal.wire.messages.directory_messages import (
    Acknowledged,
    Announce,
    AnnounceAgain,
    AnnounceReply,
    DirectoryReply,
    LeaseRenewed,
    ReadDirectory,
    RenewLease,
    TaskReference,
    TaskReport,
    Withdraw,
)
from cicadatray.scheduling.check_configuration import check_configuration

if TYPE_CHECKING:
    from cicadatray.internal.control.control_daemon import ControlDaemon


INVALID_CONFIGURATION_CODE = "invalid_configuration"


@register_handler(Announce)
async def announce(daemon: "ControlDaemon", call: Announce) -> MessageStruct:
    """Renews the agent's lease. A leader that cannot confirm its leadership grants no lease."""
    session = await daemon.require_leader_session()
    agent = session.directory.announce(call, session.now_s())
    _report_usage(session, call)
    daemon.notify()
    limits = EvacuationLimits(daemon.settings.evacuation_start_limit_s)
    return AnnounceReply(
        lease_s=LEASE_S,
        term=session.term,
        session=agent.session_number,
        continuing=tuple(
            TaskReference(report.job_id, report.epoch)
            for report in call.tasks
            if _may_continue(daemon, report)
        ),
        start_permission_s=limits.start_permission_s,
    )


@register_handler(RenewLease)
async def renew_lease(daemon: "ControlDaemon", call: RenewLease) -> MessageStruct:
    """Renews the lease of an agent whose tasks are unchanged and may all continue."""
    session = await daemon.require_leader_session()
    agent = session.directory.by_session_number.get(call.session)
    if call.term != session.term or agent is None:
        return AnnounceAgain()
    if not all(_may_continue(daemon, report) for report in agent.reports.values()):
        return AnnounceAgain()
    renewed = session.directory.renew(call, session.now_s())
    return LeaseRenewed() if renewed is not None else AnnounceAgain()


def _report_usage(session: LeaderSession, call: Announce) -> None:
    now_s = session.scheduling_time_s()
    for report in call.tasks:
        session.scheduler.usage_reported(report.job_id, report.run_s, now_s)


def _may_continue(daemon: "ControlDaemon", report: TaskReport) -> bool:
    entry = daemon.state.jobs.get(report.job_id)
    gang = entry.gang if entry is not None else None
    return gang is not None and gang.epoch == report.epoch and gang.outcome is None


@register_handler(Withdraw)
async def withdraw(daemon: "ControlDaemon", call: Withdraw) -> MessageStruct:
    """Removes an agent that has shut down from the directory."""
    session = await daemon.require_leader_session()
    session.directory.withdraw(call, session.now_s())
    daemon.notify()
    return Acknowledged()


@register_handler(ReadDirectory)
async def read_directory(daemon: "ControlDaemon", call: ReadDirectory) -> MessageStruct:
    """Returns all agents, unless the caller's copy of the directory is current."""
    session = await daemon.require_leader_session()
    directory = session.directory
    is_current = (call.cached_term, call.cached_version) == (session.term, directory.version)
    return DirectoryReply(
        term=session.term,
        version=directory.version,
        configuration_version=daemon.state.configuration.version,
        is_complete=session.now_s() - session.started_s > AGENT_TIMEOUT_S,
        agents=None if is_current else directory.listed_agents,
    )


@register_handler(ReadConfiguration)
async def read_configuration(daemon: "ControlDaemon", call: ReadConfiguration) -> MessageStruct:
    """Returns the configuration in effect."""
    await daemon.require_leader_session()
    configuration = daemon.state.configuration
    return ConfigurationReply(
        version=configuration.version,
        inventory=configuration.inventory,
        rules=configuration.rules,
        accounts=configuration.accounts,
    )


@register_handler(ReadHistory)
async def read_history(daemon: "ControlDaemon", call: ReadHistory) -> MessageStruct:
    """Returns the accepted changes that are still stored."""
    await daemon.require_leader_session()
    return HistoryReply(changes=tuple(daemon.state.configuration.history))


@register_handler(ChangeConfiguration)
async def change_configuration(daemon: "ControlDaemon", call: ChangeConfiguration) -> MessageStruct:
    """Validates a change of the configuration and proposes it."""
    session = await daemon.require_leader_session()
    faults = _find_faults(daemon, call)
    if faults:
        return Failure(code=INVALID_CONFIGURATION_CODE, detail="; ".join(faults))
    reply = await session.propose(call)
    daemon.notify()
    return reply


def _find_faults(daemon: "ControlDaemon", call: ChangeConfiguration) -> list[str]:
    """Returns the faults of inventory and rules as they would be after the change."""
    configuration = daemon.state.configuration
    inventory = call.inventory or configuration.inventory
    rules = call.rules or configuration.rules
    if call.accounts is not None or not inventory.workers:
        return []
    faults = check_configuration(inventory, rules)
    return [f"{fault.path}: {fault.value!r}, expected {fault.expected}" for fault in faults]
