"""Applies orders to evacuate availability zones, and their ends."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_gateway import cold_changes
from ragwortgw_gateway import effects
from ragwortgw_gateway import gateway_state


def begin(
    state: gateway_state.State,
    stamp: events.Stamp,
    zone: str,
    entry: platform.Found,
    relayed: bool,
    may_be_old: bool,
) -> list[Any]:
    """Evacuates a zone.

    Attempts that wait for a connection to one of its servers are withdrawn
    and go elsewhere; those that were sent go on.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      zone: The zone.
      entry: The order in the store.
      relayed: Whether a peer reported it, rather than the store.
      may_be_old: Whether the order may be from an older copy of the store.
    Returns: Effects.
    """
    fields: dict[str, Any] = {
        'zone': zone,
        'epoch': platform.epoch_of(entry.revision),
        'revision': platform.number_of(entry.revision),
        'second_hand': relayed,
    }
    if may_be_old and state.evacuations.has_ended(zone, entry.revision):
        return [core_effects.Record('zone-evacuation-held', fields)]
    if not state.evacuations.begin(zone, entry.revision, stamp.now_ms):
        return []
    server_ids = [
        server.id
        for server in state.fleet.servers_by_id.values()
        if server.zone == zone
    ]
    fields['servers'] = len(server_ids)
    return [
        *(effects.PauseServer(server_id) for server_id in server_ids),
        core_effects.Record('zone-evacuated', fields),
        core_effects.Count('gateway_evacuations', ()),
    ]


def end(
    state: gateway_state.State,
    stamp: events.Stamp,
    zone: str,
    relayed: bool,
) -> list[Any]:
    """Ends the evacuation of a zone.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      zone: The zone.
      relayed: Whether a peer reported the end, rather than the store.
    Returns: Effects.
    """
    evacuation = state.evacuations.end(zone)
    if evacuation is None:
        return []
    fields = {
        'zone': zone,
        'epoch': platform.epoch_of(evacuation.revision),
        'revision': platform.number_of(evacuation.revision),
        'evacuated_ms': stamp.now_ms - evacuation.since_ms,
        'second_hand': relayed,
    }
    return [
        core_effects.Record('zone-restored', fields),
        *cold_changes.on_zone_restored(state, stamp, zone),
    ]


def end_missing(
    state: gateway_state.State,
    stamp: events.Stamp,
    found: tuple[platform.Found, ...],
) -> list[Any]:
    """Ends the evacuations that a restored store, once settled, lacks.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      found: All values in the store.
    Returns: Effects.
    """
    ordered = {state.formats.evacuated_zone(entry.key) for entry in found}
    outputs: list[Any] = []
    for zone in state.evacuations.by_zone.keys() - ordered:
        outputs += end(state, stamp, zone, False)
    return outputs
