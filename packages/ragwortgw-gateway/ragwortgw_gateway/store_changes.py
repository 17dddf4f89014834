"""How a gateway takes what the store holds, first or second hand."""

from typing import Any

import msgspec

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import fleet
from ragwortgw_gateway import fleet_changes
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import notices
from ragwortgw_gateway import routes
from ragwortgw_gateway import selection

State = gateway_state.State
NOTICES = gateway_state.NOTICES

#: Deletions this long after an outage may be registrations that lapsed.
REGISTRATION_RETURN_MS = 2_500


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
def on_store_regained(
    state: State, stamp: core_events.Stamp, notice: notices.StoreRecovered
) -> list[Any]:
    state.values.restart()
    fields = {'outage_ms': notice.outage_ms}
    return [core_effects.Record('store-regained', fields)]


@NOTICES.handles(notices.PrefixChanged)
def on_prefix_changed(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    formats = state.formats
    if not notice.relayed:
        state.has_unshared_changes = True
        state.digest_deadline_ms = stamp.now_ms
    for found in notice.written:
        state.rollouts.record_status(found)
    return [
        *_take_own(state, stamp, _part(notice, formats.own_prefix)),
        *_take_orders(state, stamp, _part(notice, formats.operator_prefix)),
        *_take_servers(state, stamp, _part(notice, formats.server_prefix)),
    ]


def _part(notice: notices.PrefixChanged, prefix: str) -> notices.PrefixChanged:
    """Returns the part of a change that is under a longer prefix."""
    return notices.PrefixChanged(
        prefix,
        tuple(
            found for found in notice.written if found.key.startswith(prefix)
        ),
        tuple(key for key in notice.deleted if key.startswith(prefix)),
        notice.relayed,
        notice.lapse_ms,
    )


def _take_orders(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    outputs: list[Any] = []
    settled = stamp.now_ms - state.started_ms > selection.LEARNING_MS
    for found in notice.written:
        if found.key == state.formats.configuration_key:
            outputs += _take_configuration(state, stamp, found, notice)
            continue
        order = state.formats.read_order(found)
        if order is None:
            outputs.append(_unreadable(found))
            continue
        state.rollouts.apply_order(order, stamp.now_ms, settled)
        for held in state.values.found:
            state.rollouts.record_status(held)
            if held.key.startswith(state.formats.own_prefix):
                state.rollouts.apply_step(held, stamp.now_ms)
        fields = {**order._asdict(), 'second_hand': notice.relayed}
        outputs.append(core_effects.Record('rollout-ordered', fields))
    for key in notice.deleted:
        state.rollouts.drop_order(key.rpartition('/')[2])
    return outputs


def _take_configuration(
    state: State,
    stamp: core_events.Stamp,
    found: platform.Found,
    notice: notices.PrefixChanged,
) -> list[Any]:
    configuration = state.formats.read_configuration(found)
    if configuration is None:
        return [_unreadable(found)]
    held = state.configuration
    if held is not None and held.version >= configuration.version:
        return []
    state.configuration = configuration
    state.table = routes.RouteTable(configuration)
    fields = {
        'version': configuration.version,
        'before': 0 if held is None else held.version,
        'store_revision': found.revision,
        'second_hand': notice.relayed,
    }
    return [
        effects.LimitCallers(configuration.limits),
        core_effects.Record('configuration', fields),
    ]


def _take_servers(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    outputs: list[Any] = []
    servers: list[documents.BackendServer] = []
    foreign: list[str] = []
    for found in notice.written:
        server = state.formats.read_server(found)
        if server is None:
            outputs.append(_unreadable(found))
            foreign.append(found.key[len(notice.prefix) :])
        else:
            servers.append(server)
    changes = [state.fleet.register(servers), state.fleet.deregister(foreign)]
    gone = [key[len(notice.prefix) :] for key in notice.deleted]
    deadline_ms = _lapse_deadline_ms(state, stamp, notice)
    changes.append(state.fleet.deregister(gone, deadline_ms))
    for change in changes:
        outputs += fleet_changes.apply(state, change, notice.relayed)
    return outputs


def _lapse_deadline_ms(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> int:
    """Returns when a registration that vanished is believed to be gone.

    A gateway that is cut off from a healthy store goes by the word of
    those that reach it: for the store's own outages they wait as well.
    """
    if notice.relayed:
        if not notice.lapse_ms:
            return 0
        state.lapse_deadline_ms = stamp.now_ms + notice.lapse_ms
        return state.lapse_deadline_ms
    if not state.link.reachable:
        return stamp.now_ms + REGISTRATION_RETURN_MS + fleet.LAPSE_GRACE_MS
    since_ms = stamp.now_ms - state.link.recovered_ms
    if state.link.recovered_ms and since_ms < REGISTRATION_RETURN_MS:
        return state.link.recovered_ms + fleet.LAPSE_GRACE_MS
    return 0


def _take_own(
    state: State, stamp: core_events.Stamp, notice: notices.PrefixChanged
) -> list[Any]:
    outputs: list[Any] = []
    hosts = f'{notice.prefix}hosts/'
    for found in notice.written:
        if not found.key.startswith(hosts):
            step = state.rollouts.apply_step(found, stamp.now_ms)
            if step is not None:
                fields = {'service': found.key.rpartition('/')[2]}
                fields.update(step._asdict())
                outputs.append(core_effects.Record('rollout-phase', fields))
            continue
        host_id = found.key[len(hosts) :]
        address = _read_address(found)
        if host_id != state.host_id and address:
            state.peer_addresses_by_id[host_id] = address
    for key in notice.deleted:
        if key.startswith(hosts):
            state.peer_addresses_by_id.pop(key[len(hosts) :], None)
    return outputs


def _read_address(found: platform.Found) -> str:
    try:
        value = msgspec.json.decode(found.value)
    except msgspec.MsgspecError:
        return ''
    if not isinstance(value, dict):
        return ''
    return str(value.get('address', ''))


def _unreadable(found: platform.Found) -> core_effects.Record:
    fields = {'key': found.key, 'revision': found.revision}
    return core_effects.Record('value-unreadable', fields)
