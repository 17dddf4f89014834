"""Applies changes in the store to the state of the gateway.

Changes come from the store itself or are relayed by a peer. They concern the
configuration, orders and steps of roll-outs, evacuations of zones,
registrations of backend servers, and addresses of other gateways.

A store that was restored from an older copy holds what is out of date until
its writers have written again what it lost. Nothing in force is undone in
that time: registrations that had been deleted, orders that differ from those
in force and deletions of orders are applied at its end, if the store still
says so. A configuration is never replaced by one of a lower version.
"""

from typing import Any


from ragwortgw_core import addresses
from ragwortgw_core import decoding
from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import cold_changes
from ragwortgw_gateway import crash_containment
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import evacuation_changes
from ragwortgw_gateway import fleet
from ragwortgw_gateway import fleet_changes
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import notices
from ragwortgw_gateway import routes
from ragwortgw_gateway import selection

State = gateway_state.State
NOTICES = gateway_state.NOTICES

#: Registrations that are deleted within this time after an outage of the
#: store may have lapsed in the outage and be renewed soon.
REGISTRATION_RETURN_MS = 2_500
#: Heartbeats without which the store deletes a registration.
LAPSE_HEARTBEATS = 3
#: After a restore of the store, gateways register again within this time.
REGISTER_SPREAD_MS = 1_000


@NOTICES.handles(notices.StoreLost)
def on_store_lost(
    state: State, stamp: core_events.Stamp, notice: notices.StoreLost
) -> list[Any]:
    fields = {
        'configuration': state.version,
        'servers': len(state.fleet.servers_by_id),
    }
    return [core_effects.Record('store-lost', fields)]


@NOTICES.handles(notices.StoreRecovered)
def on_store_recovered(
    state: State, stamp: core_events.Stamp, notice: notices.StoreRecovered
) -> list[Any]:
    state.values.restart()
    fields = {'outage_ms': notice.outage_ms}
    return [core_effects.Record('store-regained', fields)]


@NOTICES.handles(notices.StoreRestored)
def on_store_restored(
    state: State, stamp: core_events.Stamp, notice: notices.StoreRestored
) -> list[Any]:
    """Begins the time in which the store may hold what is out of date.

    Servers that live have registered again by LAPSE_GRACE_MS. Registrations
    of servers that left before are deleted once nobody renewed them.
    """
    state.restored_ms = stamp.now_ms
    state.settle_deadline_ms = (
        stamp.now_ms
        + fleet.LAPSE_GRACE_MS
        + LAPSE_HEARTBEATS * state.options.heartbeat_ms
    )
    state.link.register_again(stamp.now_ms + stamp.seed % REGISTER_SPREAD_MS)
    state.rollouts.on_store_restored(stamp.now_ms)
    state.quarantine.on_store_restored(stamp)
    fields = {
        'epoch': notice.epoch,
        'before': notice.before,
        'second_hand': notice.relayed,
        'configuration': state.version,
        'servers': len(state.fleet.servers_by_id),
        'settles_in_ms': state.settle_deadline_ms - stamp.now_ms,
    }
    return [
        core_effects.Record('store-restored', fields),
        core_effects.LogChange('store was restored from a copy', fields),
        core_effects.Count('gateway_store_restores', ()),
    ]


def settling(state: State, now_ms: int) -> bool:
    """Returns whether the store may hold what is out of date."""
    return now_ms < state.settle_deadline_ms


def on_tick(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Applies what was held back once a restored store has settled."""
    if not state.settle_deadline_ms or settling(state, stamp.now_ms):
        return []
    state.settle_deadline_ms = 0
    values = state.values.found
    formats = state.formats
    outputs: list[Any] = [core_effects.Record('store-settled', {})]
    for prefix, apply in (
        (formats.operator_prefix, _apply_operator_values),
        (formats.server_prefix, _apply_registrations),
    ):
        written = tuple(
            entry for entry in values if entry.key.startswith(prefix)
        )
        notice = notices.PrefixChanged(prefix, written, (), False)
        outputs += apply(state, stamp, notice)
    orders = [formats.read_order(entry) for entry in values]
    services = {order.service for order in orders if order is not None}
    for service in state.rollouts.tracks_by_service.keys() - services:
        state.rollouts.drop_order(service)
    return [*outputs, *evacuation_changes.end_missing(state, stamp, values)]


@NOTICES.handles(notices.PrefixChanged)
def on_prefix_changed(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    formats = state.formats
    if not notice.relayed:
        state.has_unshared_changes = True
        state.digest_deadline_ms = stamp.now_ms
    for entry in notice.written:
        state.rollouts.record_status(entry.key, entry.value)
    for key in notice.deleted:
        state.rollouts.record_status(key, b'')
    return [
        *_apply_gateway_values(
            state, stamp, _changes_under(notice, formats.own_prefix)
        ),
        *_apply_operator_values(
            state, stamp, _changes_under(notice, formats.operator_prefix)
        ),
        *_apply_registrations(
            state, stamp, _changes_under(notice, formats.server_prefix)
        ),
    ]


def _changes_under(
    notice: notices.PrefixChanged, prefix: str
) -> notices.PrefixChanged:
    """Returns the changes of the keys that begin with a prefix."""
    return notices.PrefixChanged(
        prefix,
        tuple(
            entry for entry in notice.written if entry.key.startswith(prefix)
        ),
        tuple(key for key in notice.deleted if key.startswith(prefix)),
        notice.relayed,
        notice.lapse_ms,
    )


def _apply_operator_values(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    """Applies the configuration, and orders of roll-outs and evacuations."""
    outputs: list[Any] = []
    held_back = settling(state, stamp.now_ms)
    # Orders that are read just after the start may be old.
    fresh = stamp.now_ms - state.started_ms > selection.LEARNING_MS
    for entry in notice.written:
        if entry.key == state.formats.configuration_key:
            outputs += _apply_configuration(state, stamp, entry, notice)
            continue
        zone = state.formats.evacuated_zone(entry.key)
        if zone:
            outputs += evacuation_changes.begin(
                state, stamp, zone, entry, notice.relayed, held_back
            )
            continue
        order = state.formats.read_order(entry)
        if order is None:
            outputs.append(_record_unreadable(entry))
            continue
        if held_back and not state.rollouts.is_current(order):
            fields = {**order._asdict(), 'second_hand': notice.relayed}
            outputs.append(core_effects.Record('rollout-order-held', fields))
            continue
        if not state.rollouts.apply_order(
            order, stamp.now_ms, fresh, held_back
        ):
            continue
        # The step and the status may have arrived before the order.
        for known in state.values.found:
            state.rollouts.record_status(known.key, known.value)
            if known.key.startswith(state.formats.own_prefix):
                state.rollouts.apply_step(known, stamp.now_ms)
        fields = {**order._asdict(), 'second_hand': notice.relayed}
        outputs.append(core_effects.Record('rollout-ordered', fields))
    for key in () if held_back else notice.deleted:
        zone = state.formats.evacuated_zone(key)
        if zone:
            outputs += evacuation_changes.end(
                state, stamp, zone, notice.relayed
            )
        else:
            state.rollouts.drop_order(key.rpartition('/')[2])
    return outputs


def _apply_configuration(
    state: State,
    stamp: core_events.Stamp,
    entry: platform.Found,
    notice: notices.PrefixChanged,
) -> list[Any]:
    configuration = state.formats.read_configuration(entry)
    if configuration is None:
        return [_record_unreadable(entry)]
    current = state.configuration
    if current is not None and current.version >= configuration.version:
        return []
    state.configuration = configuration
    state.cold_servers.services_by_id = configuration.services_by_id
    state.configuration_value = entry
    state.table = routes.RouteTable(configuration)
    fields = {
        'version': configuration.version,
        'before': 0 if current is None else current.version,
        'store_epoch': platform.epoch_of(entry.revision),
        'store_revision': platform.number_of(entry.revision),
        'second_hand': notice.relayed,
    }
    return [
        effects.LimitCallers(configuration.limits),
        core_effects.Record('configuration', fields),
    ]


def apply_retained(
    state: State,
    stamp: core_events.Stamp,
    retained: tuple[platform.Found, ...],
) -> list[Any]:
    """Applies what a peer has in force and the restored store has lost.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      retained: Values in force at the peer.
    """
    outputs: list[Any] = []
    for entry in retained:
        if entry.key == state.formats.configuration_key:
            notice = notices.PrefixChanged(entry.key, (entry,), (), True)
            outputs += _apply_configuration(state, stamp, entry, notice)
    return outputs


def _apply_registrations(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    """Applies registrations of backend servers.

    An unreadable registration counts as deleted.
    """
    outputs: list[Any] = []
    servers: list[documents.BackendServer] = []
    revisions_by_id: dict[str, int] = {}
    unreadable: list[str] = []
    for entry in notice.written:
        server = state.formats.read_server(entry)
        if server is None:
            outputs.append(_record_unreadable(entry))
            unreadable.append(entry.key[len(notice.prefix) :])
        else:
            servers.append(server)
            revisions_by_id[server.id] = entry.revision
    changes = [
        state.fleet.register(servers, settling(state, stamp.now_ms)),
        state.fleet.deregister(unreadable),
    ]
    deleted = [key[len(notice.prefix) :] for key in notice.deleted]
    deadline_ms = _lapse_deadline_ms(state, stamp, notice)
    changes.append(state.fleet.deregister(deleted, deadline_ms))
    for change in changes:
        outputs += fleet_changes.apply(state, change, notice.relayed)
    source = 'peer' if notice.relayed else 'store'
    for server in servers:
        if state.fleet.servers_by_id.get(server.id) is server:
            outputs += cold_changes.on_report(
                state,
                stamp,
                server,
                server.cold_left_ms,
                source,
                revisions_by_id[server.id],
            )
    return outputs


def _lapse_deadline_ms(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> int:
    """Returns when deleted registrations are removed from the fleet.

    During and just after an outage or a restore of the store, registrations
    may only have lapsed, or be lost, and be renewed soon. A gateway that
    can't reach a healthy store relies on its peers: they report whether the
    store had an outage.

    Returns: The time, 0 for at once.
    """
    if notice.relayed:
        if not notice.lapse_ms:
            return 0
        state.lapse_deadline_ms = stamp.now_ms + notice.lapse_ms
        return state.lapse_deadline_ms
    if not state.link.reachable:
        return stamp.now_ms + REGISTRATION_RETURN_MS + fleet.LAPSE_GRACE_MS
    returned_ms = max(state.link.recovered_ms, state.restored_ms)
    since_ms = stamp.now_ms - returned_ms
    if returned_ms and since_ms < REGISTRATION_RETURN_MS:
        return returned_ms + fleet.LAPSE_GRACE_MS
    return 0


def _apply_gateway_values(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    """Applies addresses of gateways, steps of roll-outs and quarantines."""
    outputs: list[Any] = []
    hosts_prefix = f'{notice.prefix}hosts/'
    for entry in notice.written:
        if state.quarantine.owns(entry.key):
            block = state.quarantine.apply_value(entry, stamp)
            if block:
                outputs += crash_containment.on_stored(state, stamp, block)
            continue
        if not entry.key.startswith(hosts_prefix):
            step = state.rollouts.apply_step(entry, stamp.now_ms)
            if step is not None:
                fields = {'service': entry.key.rpartition('/')[2]}
                fields.update(step._asdict())
                outputs.append(core_effects.Record('rollout-phase', fields))
            continue
        host_id = entry.key[len(hosts_prefix) :]
        address = _read_address(entry)
        if host_id != state.host_id and address:
            state.add_peer(host_id, address, _read_text(entry, 'zone'))
    for key in notice.deleted:
        if state.quarantine.owns(key):
            outputs += _release_block(state, stamp, key)
        elif key.startswith(hosts_prefix):
            state.remove_peer(key[len(hosts_prefix) :])
        else:
            state.rollouts.forget_step(key)
    return outputs


def _release_block(
    state: State, stamp: core_events.Stamp, key: str
) -> list[Any]:
    """Releases the block of a value that an operator deleted.

    A restored store has lost values; those are written again.
    """
    if settling(state, stamp.now_ms):
        return []
    block = state.quarantine.apply_deletion(key)
    if not block:
        return []
    return crash_containment.on_released(state, block, 'deleted')


def _read_address(entry: platform.Found) -> str:
    """Returns the address in a gateway's entry, '' if it has none."""
    address = _read_text(entry, 'address')
    return address if addresses.parse(address) is not None else ''


def _read_text(entry: platform.Found, field: str) -> str:
    """Returns a field of a gateway's entry, '' if it has none."""
    try:
        value = decoding.from_json(entry.value)
    except decoding.Undecodable:
        return ''
    if not isinstance(value, dict):
        return ''
    return str(value.get(field, ''))


def _record_unreadable(entry: platform.Found) -> core_effects.Record:
    fields = {
        'key': entry.key,
        'epoch': platform.epoch_of(entry.revision),
        'revision': platform.number_of(entry.revision),
    }
    return core_effects.Record('value-unreadable', fields)
