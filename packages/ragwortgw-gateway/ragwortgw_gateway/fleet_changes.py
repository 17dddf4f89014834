"""Discards the state that is kept for servers that left or restarted."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_gateway import effects
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway_state


def apply(
    state: gateway_state.State, change: fleet.FleetChange, relayed: bool
) -> list[Any]:
    """Removes measurements of servers that are gone or were restarted.

    Args:
      state: The gateway.
      change: Changes of the fleet.
      relayed: Whether a peer reported the changes, rather than the store.
    Returns: Effects, including a log record for each server.
    """
    outputs: list[Any] = []
    for server_id in (*change.added, *change.removed):
        state.prefixes.forget(server_id)
        state.latency.forget(server_id)
        state.outliers.forget(server_id)
        state.backoff.forget(server_id)
        state.rate_limits.forget(server_id)
        state.cold_servers.forget(server_id)
        state.last_seen_ms_by_server.pop(server_id, None)
        state.peers_seen_ms_by_server.pop(server_id, None)
        outputs.append(effects.DropServer(server_id))
    for change_name, server_ids in change._asdict().items():
        for server_id in server_ids:
            fields = {
                'server': server_id,
                'change': change_name,
                'second_hand': relayed,
            }
            server = state.fleet.servers_by_id.get(server_id)
            if server is not None:
                fields['service'] = server.service
                fields['version'] = server.version
            outputs.append(core_effects.Record('server', fields))
    return outputs
