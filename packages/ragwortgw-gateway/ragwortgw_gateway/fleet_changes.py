"""Applies what has changed in the fleet to all that depends on it."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_gateway import effects
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway_state


def apply(
    state: gateway_state.State, change: fleet.FleetChange, relayed: bool
) -> list[Any]:
    """Forgets what was learned of servers that are gone or started anew.

    Args:
      state: The gateway.
      change: What has changed.
      second_hand: Whether another gateway told of it.
    Returns: Effects, with a line of the log for each server.
    """
    outputs: list[Any] = []
    for server_id in (*change.added, *change.removed):
        state.prefixes.forget(server_id)
        state.latency.forget(server_id)
        state.outliers.forget(server_id)
        state.last_seen_ms_by_server.pop(server_id, None)
        outputs.append(effects.DropServer(server_id))
    for name, server_ids in change._asdict().items():
        for server_id in server_ids:
            fields = {
                'server': server_id,
                'change': name,
                'second_hand': relayed,
            }
            server = state.fleet.servers_by_id.get(server_id)
            if server is not None:
                fields['service'] = server.service
                fields['version'] = server.version
            outputs.append(core_effects.Record('server', fields))
    return outputs
