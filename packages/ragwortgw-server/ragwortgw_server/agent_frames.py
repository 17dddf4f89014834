"""Turns the frames of an agent's control stream into events."""

from typing import Any, Protocol

from returns.result import Success

from ragwortgw_core import events
from ragwortgw_server import agent_connections
from ragwortgw_server import clock
from ragwortgw_server import registries
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_pb2 as pb

Connection = agent_connections.Connection

#: Functions (link, connection, message) by the kind of an agent's frame.
handles = registries.Registry()


class Link(Protocol):
    """What the functions need of an entry's link to an agent."""

    agent_id: str

    def emit(self, event: Any) -> None:
        """Takes an event."""


@handles('pong')
def on_pong(link: Link, connection: Connection, message: pb.Ping) -> None:
    """Passes on which revision the agent knows, and its load."""
    confirmed_at_ms = max(0, connection.floor_ms - message.confirmed_age_ms)
    link.emit(
        events.RevisionHinted(link.agent_id, message.revision, confirmed_at_ms)
    )
    if message.HasField('load') and connection.report is not None:
        _emit_report(link, connection.report, message.load)


@handles('report')
def on_report(link: Link, connection: Connection, message: pb.Report) -> None:
    """Passes a report on."""
    connection.report = message
    _emit_report(link, message, message.load)


def _emit_report(link: Link, report: pb.Report, load: pb.Load) -> None:
    link.emit(
        events.AgentReported(
            link.agent_id,
            convert.load_from_wire(load, clock.now_ms()),
            tuple(report.versions),
            report.healthy,
            report.draining,
            report.revision,
        )
    )


@handles('leaving')
def on_leaving(
    link: Link, connection: Connection, message: pb.Leaving
) -> None:
    """Tells that the agent takes no new work."""
    link.emit(events.AgentLeaving(link.agent_id))


@handles('receipts')
def on_receipts(
    link: Link, connection: Connection, message: pb.Receipts
) -> None:
    """Passes on bills whose entry is gone."""
    bills = convert.bills_from_wire(message.bills)
    link.emit(events.ReceiptOffered(link.agent_id, bills))


@handles('strike')
def on_strike(
    link: Link, connection: Connection, message: pb.StrikeNotice
) -> None:
    """Passes on that a request ran at a crash."""
    link.emit(
        events.StrikeReceived(
            link.agent_id,
            message.fingerprint,
            message.crash_id,
            message.members,
        )
    )


@handles('prefix')
def on_prefix(
    link: Link, connection: Connection, message: pb.PrefixEvent
) -> None:
    """Passes a cache event on."""
    link.emit(
        events.PrefixCached(link.agent_id, message.prefix, message.present)
    )


@handles('configuration')
def on_configuration(
    link: Link, connection: Connection, message: pb.Configuration
) -> None:
    """Passes a configuration on that the agent holds."""
    read = convert.configuration_from_wire(message, connection.floor_ms)
    if isinstance(read, Success):
        offered = read.unwrap()
        link.emit(
            events.ConfigurationOffered(
                link.agent_id, offered.head, offered.documents
            )
        )
