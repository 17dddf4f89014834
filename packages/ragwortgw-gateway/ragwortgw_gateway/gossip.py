"""Gossip between gateways: digests, notes and views of the store.

Each gateway sends a digest several times a second and a note for each
attempt: to the gateways of its zone, and to one of each other zone, which
passes them on there (see peer_zones). A few gateways watch the store; the
others fetch its changes from a peer whose digest names a newer revision.
"""

from collections.abc import Iterable
import itertools
from typing import Any

from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import announcements
from ragwortgw_gateway import digests
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import peer_zones
from ragwortgw_gateway import routes
from ragwortgw_gateway import store_changes
from ragwortgw_gateway import store_watch

State = gateway_state.State
REDUCER = gateway_state.REDUCER

DIGEST_INTERVAL_MS = 250
#: Peers that one digest goes to; the next digest goes to the next ones.
DIGEST_FANOUT = 12
#: Peers that get the note of one attempt. The bound keeps the cost from
#: growing with the number of gateways; with more peers, each gets only some
#: of the notes.
NOTE_FANOUT = 48
#: Every how many digests go to other zones.
FAR_DIGEST_TURNS = 2
#: Peers of its zone that a relay passes a digest on to. The bound keeps the
#: cost of receiving from growing with the number of gateways.
RELAY_FANOUT = 8
#: Relays in each zone of a digest that reports a change in the store, so that
#: one that is dead does not delay it.
NEWS_RELAYS = 2
#: A peer that sent nothing for longer is no relay while its zone has others.
RELAY_SILENCE_MS = 1_200
#: Time that the store has to report a change that a peer already knows,
#: before the change is fetched from that peer.
FETCH_DELAY_MS = 400
#: Shortest time between two fetches.
FETCH_INTERVAL_MS = 300
#: Time after which a second peer is asked if the first has not answered.
#: There is no third fetch: on a slow link, large answers share the
#: bandwidth until none arrives in time.
SECOND_FETCH_MS = 700
MAX_FETCHES = 2
#: Timeout of a fetch. A configuration has to be in force within a bound of
#: two seconds or more, and the fetch is part of that time.
FETCH_TIMEOUT_MS = 2_000
#: A fetch whose end was not reported this long after its timeout is dropped.
FETCH_GRACE_MS = 500
#: A server that was silent for longer is left out of digests.
MAX_SILENCE_MS = 2_000
#: Gateways that watch the store themselves; if two of them fail at once, one
#: is left to pass changes on.
MAX_WATCHERS = 3
#: A peer that received nothing from the store for longer than a watch lasts
#: is not counted as a watcher.
FRESH_MS = store_watch.WATCH_MS + 1_000


def watch_store(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Watches the store, unless enough peers do so already.

    Each call to the store costs money; a change that a few gateways receive
    reaches their peers within a fraction of a second.
    """
    if not state.link.reachable:
        return []
    own_rank = routes.hash_fraction(state.host_id)
    preceding_watchers = 0
    for host_id, peer in state.peers_by_id.items():
        age_ms = peer.digest.store_age_ms + stamp.now_ms - peer.last_seen_ms
        if age_ms < FRESH_MS and routes.hash_fraction(host_id) < own_rank:
            preceding_watchers += 1
    if preceding_watchers >= MAX_WATCHERS:
        return []
    state.values.preceding_watchers = preceding_watchers
    return state.values.on_tick(stamp)


@REDUCER.handles(events.DigestReceived)
def on_digest(
    state: State, stamp: core_events.Stamp, event: events.DigestReceived
) -> list[Any]:
    digest = event.digest
    if digest.sender == state.host_id:
        return []
    previous = state.peers_by_id.get(digest.sender)
    if (
        previous is not None
        and previous.digest.incarnation == digest.incarnation
    ):
        if previous.digest.sequence >= digest.sequence:
            return []
    else:
        # It may have just started, and have no store to read blocks from.
        if state.quarantine.blocks:
            state.crash_reports.add_news(stamp.now_ms)
            state.block_reports.add_news(stamp.now_ms)
        state.limit_reports.add_news(stamp.now_ms)
    state.peers_by_id[digest.sender] = gateway_state.Peer(digest, stamp.now_ms)
    state.peer_addresses_by_id[digest.sender] = digest.address
    state.ring.record_peer(digest.sender, digest.serving)
    state.loads.merge_remote(
        digest.sender, digest.loads_by_server, stamp.now_ms
    )
    for server_id, silence_ms in digest.silence_ms_by_server.items():
        seen_ms = stamp.now_ms - max(0, silence_ms)
        known_ms = state.peers_seen_ms_by_server.get(server_id, 0)
        state.peers_seen_ms_by_server[server_id] = max(known_ms, seen_ms)
    state.crashes.merge_remote(digest.crashes, stamp.now_ms)
    if digest.revision <= state.values.revision:
        state.values.confirm(stamp.now_ms - digest.store_age_ms)
    if digest.settling_ms and not state.restored_ms:
        # This gateway started after the restore and could not see it.
        state.restored_ms = stamp.now_ms
        state.settle_deadline_ms = stamp.now_ms + digest.settling_ms
    return announcements.merge_remote(state, stamp, digest.leaving)


@REDUCER.handles(events.RelayedReceived)
def on_relayed(
    state: State, stamp: core_events.Stamp, event: events.RelayedReceived
) -> list[Any]:
    """Takes a message from another zone, and passes it on in this one."""
    message = event.relayed.message
    previous = state.peers_by_id.get(message.sender)
    outputs: list[Any]
    if isinstance(message, digests.Note):
        outputs = on_note(state, stamp, events.NoteReceived(message))
        zones = _live_zones(state)
        count = zones.near_fanout(NOTE_FANOUT)
        recipients = peer_zones.in_turn(zones.near, message.sequence, count)
        if recipients:
            outputs.append(effects.SendNote(recipients, message))
        return outputs
    outputs = on_digest(state, stamp, events.DigestReceived(message))
    if state.peers_by_id.get(message.sender) is previous:
        # Another relay of the same digest was faster.
        return outputs
    is_news = previous is None or (
        previous.digest.revision,
        previous.digest.configuration,
    ) != (message.revision, message.configuration)
    addresses = _all_zones(state).near
    count = len(addresses) if is_news else RELAY_FANOUT
    recipients = peer_zones.in_turn(addresses, message.sequence, count)
    if recipients:
        outputs.append(effects.SendDigest(recipients, message))
    return outputs


@REDUCER.handles(events.ProbeReceived)
def on_probe(
    state: State, stamp: core_events.Stamp, event: events.ProbeReceived
) -> list[Any]:
    probe = event.probe
    if not probe.returned:
        back = probe._replace(returned=True)
        return [effects.SendProbe((probe.address,), back)]
    if probe.address == state.digest_address:
        state.report_ages.observe(stamp.now_ms - probe.sent_ms)
    return []


def _send_probe(state: State, now_ms: int) -> list[Any]:
    """Sends a probe to the next peer that is known to return it."""
    addresses = [
        peer.digest.address
        for host_id, peer in state.peers_by_id.items()
        if state.peer_zones_by_id.get(host_id)
    ]
    if not addresses:
        return []
    recipients = peer_zones.in_turn(addresses, state.digest_count, 1)
    probe = digests.Probe(state.digest_address, now_ms, False)
    return [effects.SendProbe(recipients, probe)]


def _live_zones(state: State) -> peer_zones.PeerZones:
    """Divides the live peers that accept callers by zone."""
    return peer_zones.divide(
        state.zone,
        (
            (host_id, peer.digest.address)
            for host_id, peer in state.peers_by_id.items()
            if not peer.digest.stopping
        ),
        state.peer_zones_by_id,
    )


def _all_zones(state: State) -> peer_zones.PeerZones:
    """Divides all known gateways but this one by zone."""
    ids_by_address = {
        address: host_id
        for host_id, address in state.peer_addresses_by_id.items()
    } or dict.fromkeys(state.seeds, '')
    ids_by_address.pop(state.digest_address, None)
    return peer_zones.divide(
        state.zone,
        (
            (host_id, address)
            for address, host_id in sorted(ids_by_address.items())
        ),
        state.peer_zones_by_id,
    )


def _recently_seen(state: State, now_ms: int) -> frozenset[str]:
    """Returns the addresses of the peers that may relay messages."""
    oldest_ms = now_ms - RELAY_SILENCE_MS
    return frozenset(
        peer.digest.address
        for peer in state.peers_by_id.values()
        if peer.last_seen_ms >= oldest_ms and not peer.digest.stopping
    )


@REDUCER.handles(events.NoteReceived)
def on_note(
    state: State, stamp: core_events.Stamp, event: events.NoteReceived
) -> list[Any]:
    """Counts an attempt that a peer has sent since its latest digest."""
    note = event.note
    peer = state.peers_by_id.get(note.sender)
    server = state.fleet.servers_by_id.get(note.prefill.server)
    if peer is None or server is None:
        return []
    state.rate_limits.record_sent(server, stamp.now_ms, _note_weight(state))
    state.demand.add_remote(server.service, note.load.pending_ms, stamp.now_ms)
    if note.sequence >= peer.digest.sequence:
        state.loads.add_remote(note.sender, server.id, note.load, stamp.now_ms)
    if note.prefill.model:
        state.prefixes.record_prefill(
            note.prefill, state.cache_tokens(server.service), stamp.now_ms
        )
    return []


def _note_weight(state: State) -> float:
    """Returns how many attempts of peers one note stands for."""
    return max(1.0, len(state.peers_by_id) / NOTE_FANOUT)


def broadcast_note(
    state: State,
    stamp: core_events.Stamp,
    prefill: digests.Prefill,
    load: digests.ServerLoad,
) -> list[Any]:
    """Sends peers a note of an attempt that goes to a backend server.

    That of a server with a limit goes to all peers directly: together they
    must not exceed it, whatever becomes of a relay.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      prefill: The prompt, without model and blocks if there is none; its
        last block, which no other request shares, is left out of the note.
      load: What the attempt adds to the server's load.
    Returns: Effects.
    """
    zones = _live_zones(state)
    if not zones.near and not zones.far_by_zone:
        return []
    shared_prefill = prefill._replace(blocks=tuple(prefill.blocks[:-1]))
    note = digests.Note(
        state.host_id, state.digest_count, load, shared_prefill
    )
    turn = state.attempt_count
    server = state.fleet.servers_by_id.get(prefill.server)
    if (
        server is not None
        and state.rate_limits.limit_per_s(server) is not None
    ):
        addresses = [
            *zones.near,
            *itertools.chain(*zones.far_by_zone.values()),
        ]
        recipients = peer_zones.in_turn(addresses, turn, NOTE_FANOUT)
        return [effects.SendNote(recipients, note)]
    outputs: list[Any] = []
    count = zones.near_fanout(NOTE_FANOUT)
    recipients = peer_zones.in_turn(zones.near, turn, count)
    if recipients:
        outputs.append(effects.SendNote(recipients, note))
    alive = _recently_seen(state, stamp.now_ms)
    relays = peer_zones.relays(zones.far_by_zone, turn, alive)
    if relays:
        outputs.append(effects.SendRelayed(relays, digests.Relayed(note)))
    return outputs


@REDUCER.handles(events.BeliefsOffered)
def on_store_view(
    state: State, stamp: core_events.Stamp, event: events.BeliefsOffered
) -> list[Any]:
    outputs = state.values.merge_view(stamp, event.store_view)
    applied = gateway_state.apply_notices(state, stamp, outputs)
    retained = event.store_view.retained
    return [*applied, *store_changes.apply_retained(state, stamp, retained)]


def send_digests(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Sends a digest when one is due, and removes peers that are silent."""
    now_ms = stamp.now_ms
    if now_ms < state.digest_deadline_ms:
        return []
    state.digest_deadline_ms = now_ms + DIGEST_INTERVAL_MS
    state.loads.expire(now_ms)
    state.crashes.expire(now_ms)
    oldest_ms = now_ms - gateway_state.PEER_LIFETIME_MS
    for host_id, peer in list(state.peers_by_id.items()):
        if peer.last_seen_ms < oldest_ms:
            del state.peers_by_id[host_id]
    zones = _all_zones(state)
    if not zones.near and not zones.far_by_zone:
        return []
    is_news = state.has_unshared_changes
    state.has_unshared_changes = False
    turn = state.digest_count
    count = len(zones.near) if is_news else DIGEST_FANOUT
    recipients = peer_zones.in_turn(zones.near, turn, count)
    relays: tuple[str, ...] = ()
    if is_news or turn % FAR_DIGEST_TURNS == 0:
        relays = peer_zones.relays(
            zones.far_by_zone,
            turn // FAR_DIGEST_TURNS,
            _recently_seen(state, now_ms),
            NEWS_RELAYS if is_news else 1,
        )
    state.digest_count += 1
    digest = build_digest(state, now_ms)
    outputs = _send_probe(state, now_ms)
    if recipients:
        outputs.append(effects.SendDigest(recipients, digest))
    if relays:
        outputs.append(effects.SendRelayed(relays, digests.Relayed(digest)))
    return outputs


def build_digest(state: State, now_ms: int) -> digests.Digest:
    """Builds the digest of this gateway."""
    loads_by_server = state.loads.local()
    return digests.Digest(
        state.host_id,
        state.incarnation,
        state.digest_count,
        state.digest_address,
        state.stopping,
        state.values.changed_revision,
        now_ms - state.values.store_confirmed_ms,
        loads_by_server,
        state.crashes.local(now_ms),
        state.rollouts.local_evidence(now_ms),
        announcements.describe_leaving(state, now_ms),
        state.version,
        max(0, state.settle_deadline_ms - now_ms),
        _recent_silences(state, loads_by_server, now_ms),
        state.ring.serving(now_ms),
    )


def _recent_silences(
    state: State, server_ids: Iterable[str], now_ms: int
) -> dict[str, int]:
    """Returns the time since some servers sent data, if that was lately."""
    silences_ms = {
        server_id: now_ms - state.last_seen_ms_by_server.get(server_id, 0)
        for server_id in server_ids
    }
    return {
        server_id: silence_ms
        for server_id, silence_ms in silences_ms.items()
        if silence_ms < MAX_SILENCE_MS
    }


def store_view_since(
    state: State, revision: int, now_ms: int
) -> digests.StoreView:
    """Returns this gateway's view of the store for a peer.

    Args:
      state: The gateway.
      revision: Store revision that the peer knows; only values that are
        newer are included.
      now_ms: The time.
    """
    deadline_ms = state.lapse_deadline_ms
    returned_ms = max(state.link.recovered_ms, state.restored_ms)
    if state.link.reachable and returned_ms:
        deadline_ms = max(deadline_ms, returned_ms + fleet.LAPSE_GRACE_MS)
    view = state.values.view_since(revision, max(0, deadline_ms - now_ms))
    value = state.configuration_value
    if value is None or state.values.get(value.key) == value:
        return view
    return view._replace(retained=(value,))


def fetch_missing_changes(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Fetches changes that a peer knows and the store has not reported."""
    revision = state.values.revision
    peers_ahead = [
        peer
        for peer in state.peers_by_id.values()
        if peer.digest.revision > revision
        or peer.digest.configuration > state.version
    ]
    if not peers_ahead:
        state.behind_since_ms = 0
        return []
    addresses_ahead = [peer.digest.address for peer in peers_ahead]
    newest = max(peer.digest.revision for peer in peers_ahead)
    state.behind_since_ms = state.behind_since_ms or stamp.now_ms
    delay_ms = 0
    store_age_ms = stamp.now_ms - state.values.store_confirmed_ms
    restored = platform.epoch_of(newest) > state.values.epoch
    if revision and store_age_ms < FRESH_MS and not restored:
        delay_ms = FETCH_DELAY_MS
    due_ms = max(state.behind_since_ms + delay_ms, state.fetch_deadline_ms)
    if stamp.now_ms < due_ms or not _may_fetch(state, stamp.now_ms):
        return []
    not_asked = [
        address
        for address in addresses_ahead
        if address not in state.fetch_began_ms_by_address
    ]
    if not not_asked:
        return []
    near = _all_zones(state).near
    not_asked = [each for each in not_asked if each in near] or not_asked
    state.fetch_deadline_ms = stamp.now_ms + FETCH_INTERVAL_MS
    address = not_asked[stamp.seed % len(not_asked)]
    state.fetch_began_ms_by_address[address] = stamp.now_ms
    return [effects.FetchBeliefs(address, revision)]


def _may_fetch(state: State, now_ms: int) -> bool:
    """Returns whether one more fetch may begin."""
    began_ms_by_address = state.fetch_began_ms_by_address
    for address, began_ms in list(began_ms_by_address.items()):
        if now_ms - began_ms > FETCH_TIMEOUT_MS + FETCH_GRACE_MS:
            del began_ms_by_address[address]
    if len(began_ms_by_address) >= MAX_FETCHES:
        return False
    return all(
        now_ms - began_ms >= SECOND_FETCH_MS
        for began_ms in began_ms_by_address.values()
    )


@REDUCER.handles(events.FetchEnded)
def on_fetch_ended(
    state: State, stamp: core_events.Stamp, event: events.FetchEnded
) -> list[Any]:
    state.fetch_began_ms_by_address.pop(event.address, None)
    return []
