"""Applies what backend servers report of being cold, and logs it.

It protects servers that have not warmed up from more requests than they
take: rate_limits and placement go by it.
"""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_gateway import cold_servers
from ragwortgw_gateway import documents
from ragwortgw_gateway import gateway_state

State = gateway_state.State

#: Heartbeats of a server in which its registration says that it is cold.
REPORT_HEARTBEATS = 1.5


def on_report(
    state: State,
    stamp: core_events.Stamp,
    server: documents.BackendServer,
    left_ms: float,
    source: str,
    revision: int = 0,
) -> list[Any]:
    """Applies how much longer a server is cold.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      server: The server, registered.
      left_ms: Time until it is warm, 0 if it is.
      source: Where it was reported: 'store', 'peer' or 'answer', or
        'evacuation' if it is assumed.
      revision: Store revision of the registration, 0 for an answer.
    Returns: Effects.
    """
    before = state.cold_servers.find(server)
    if not state.cold_servers.report(server, left_ms, stamp.now_ms, revision):
        if before is None or state.cold_servers.find(server) is not None:
            return []
        return _end(state, stamp, before)
    cold = state.cold_servers.by_id[server.id]
    share = state.ring.share
    fields = {
        'server': server.id,
        'started_ms': server.started_ms,
        'service': server.service,
        'zone': server.zone,
        'left_ms': round(left_ms),
        'age_ms': stamp.now_ms - cold.began_ms,
        'limit_per_s': state.rate_limits.limit_per_s(server),
        'gateways': share.assumed,
        'taking_turns': len(share.members),
        'source': source,
        'registry_age_ms': stamp.now_ms - state.values.confirmed_ms,
    }
    return [
        core_effects.Record('server-cold', fields),
        core_effects.Count(
            'gateway_cold_servers_reported', (('service', server.service),)
        ),
    ]


def on_zone_restored(
    state: State, stamp: core_events.Stamp, zone: str
) -> list[Any]:
    """Takes the servers of a zone to be cold until they would have said so.

    They got nothing while the zone was evacuated, and all gateways would
    choose them at once; one that became cold says so only with its next
    heartbeat.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      zone: The zone.
    Returns: Effects.
    """
    left_ms = REPORT_HEARTBEATS * state.options.heartbeat_ms
    outputs: list[Any] = []
    for server in state.fleet.servers_by_id.values():
        service = state.service(server.service)
        if server.zone != zone or service is None or not service.cold_per_s:
            continue
        cold = state.cold_servers.find(server)
        if cold is None or cold.until_ms < stamp.now_ms + left_ms:
            outputs += on_report(state, stamp, server, left_ms, 'evacuation')
    return outputs


def on_tick(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Updates this gateway's share, and ends the time of cold servers."""
    state.ring.update(
        state.peer_addresses_by_id,
        state.peers_by_id,
        state.link.reachable,
        stamp.now_ms,
    )
    outputs: list[Any] = []
    for cold in state.cold_servers.expire(stamp.now_ms):
        outputs += _end(state, stamp, cold)
    return outputs


def _end(
    state: State, stamp: core_events.Stamp, cold: cold_servers.ColdServer
) -> list[Any]:
    """Forgets how slow a server was while it was cold, and logs the end."""
    state.latency.forget(cold.process.id)
    fields = {
        'server': cold.process.id,
        'service': cold.service,
        'cold_ms': stamp.now_ms - cold.began_ms,
        'registry_age_ms': stamp.now_ms - state.values.confirmed_ms,
    }
    return [core_effects.Record('server-warm', fields)]
