"""Handles what backend servers announce about themselves in their answers.

A server that is about to end says so in all its answers, one that refuses
requests may say for how long it wants none, one in need how many it takes a
second, and one that is cold for how long. It protects requests from servers
that would cut them, and servers from requests that they refuse.
"""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_gateway import cold_changes
from ragwortgw_gateway import digests
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import fleet_changes
from ragwortgw_gateway import gateway_state

State = gateway_state.State
REDUCER = gateway_state.REDUCER


@REDUCER.handles(events.ServerAnnounced)
def on_announced(
    state: State, stamp: core_events.Stamp, event: events.ServerAnnounced
) -> list[Any]:
    outputs: list[Any] = []
    if event.leaving:
        outputs += fleet_changes.apply(
            state,
            state.fleet.mark_leaving(event.process, stamp.now_ms),
            False,
        )
    if state.rate_limits.announce(
        event.process, event.limit_per_s, stamp.now_ms
    ):
        state.limit_reports.add_news(stamp.now_ms)
        outputs += _record_limit(event.process, event.limit_per_s, False)
    server = state.fleet.servers_by_id.get(event.process.id)
    if (
        event.cold_ms is not None
        and server is not None
        and server.started_ms == event.process.started_ms
    ):
        outputs += cold_changes.on_report(
            state, stamp, server, event.cold_ms, 'answer'
        )
    if event.pause_ms:
        outputs += _pause(state, stamp, event.process, event.pause_ms)
    if event.malformed_pause:
        fields = {
            'server': event.process.id,
            'retry_after': event.malformed_pause,
        }
        outputs.append(core_effects.Record('server-pause-ignored', fields))
    return outputs


def _pause(
    state: State,
    stamp: core_events.Stamp,
    process: fleet.ServerProcess,
    pause_ms: int,
) -> list[Any]:
    """Sends no more requests to a server for a time."""
    until_ms = state.backoff.pause(
        process.id, process.started_ms, pause_ms, stamp.now_ms, stamp.seed
    )
    fields = {
        'server': process.id,
        'started_ms': process.started_ms,
        'asked_ms': pause_ms,
        'pause_ms': until_ms - stamp.now_ms,
    }
    return [
        effects.PauseServer(process.id),
        core_effects.Record('server-paused', fields),
        core_effects.Count('gateway_server_pauses', ()),
    ]


def _record_limit(
    process: fleet.ServerProcess, per_s: float | None, relayed: bool
) -> list[Any]:
    """Logs the limit of a server that is in force from now on."""
    fields = {
        **process._asdict(),
        'limit_per_s': per_s,
        'second_hand': relayed,
    }
    return [
        core_effects.Record('server-limit', fields),
        core_effects.Count('gateway_server_limits', ()),
    ]


@REDUCER.handles(events.LimitReportReceived)
def on_limit_report(
    state: State, stamp: core_events.Stamp, event: events.LimitReportReceived
) -> list[Any]:
    outputs: list[Any] = []
    for server_id, started_ms, per_s, age_ms in event.report.limits:
        process = fleet.ServerProcess(server_id, started_ms)
        server = state.fleet.servers_by_id.get(server_id)
        if server is None or server.started_ms != started_ms:
            continue
        at_ms = stamp.now_ms - max(0, age_ms)
        if state.rate_limits.announce(process, per_s, at_ms, True):
            outputs += _record_limit(process, per_s, True)
    return outputs


def report_limits(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Tells the peers of limits when a report is due."""
    if not state.limit_reports.take_due(stamp.now_ms):
        return []
    report = digests.LimitReport(
        state.host_id, state.rate_limits.describe(stamp.now_ms)
    )
    return [effects.SendLimitReport(state.live_addresses, report)]


def describe_leaving(state: State, now_ms: int) -> tuple[digests.Leaving, ...]:
    """Returns the servers that are known to be leaving, for a digest."""
    return tuple(
        digests.Leaving(*process, now_ms - since_ms)
        for process, since_ms in state.fleet.leaving_processes().items()
    )


def merge_remote(
    state: State,
    stamp: core_events.Stamp,
    leaving: tuple[digests.Leaving, ...],
) -> list[Any]:
    """Applies what a peer knows of servers that leave.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      leaving: The servers in the peer's digest.
    Returns: Effects.
    """
    outputs: list[Any] = []
    for server_id, started_ms, age_ms in leaving:
        process = fleet.ServerProcess(server_id, started_ms)
        since_ms = stamp.now_ms - max(0, age_ms)
        change = state.fleet.mark_leaving(process, since_ms)
        outputs += fleet_changes.apply(state, change, True)
    return outputs
