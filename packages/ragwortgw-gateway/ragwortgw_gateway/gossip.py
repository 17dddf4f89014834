"""What gateways tell each other, and who of them follows the store."""

from typing import Any

from ragwortgw_core import events as core_events
from ragwortgw_gateway import digests
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import routes
from ragwortgw_gateway import store_watch

State = gateway_state.State
REDUCER = gateway_state.REDUCER

DIGEST_INTERVAL_MS = 250
#: Gateways that one digest goes to; the next digest goes to the next ones.
DIGEST_FANOUT = 12
#: Gateways that are told at once of an attempt, so that what that costs does
#: not grow with their number; beyond it, each hears of a part.
NOTE_FANOUT = 48
#: Another gateway's news is fetched if the store has not told it by then.
FETCH_DELAY_MS = 400
FETCH_INTERVAL_MS = 300
#: A second gateway is asked if the first has not answered after this. No
#: third one is: answers that are large get in each other's way on a slow
#: link, until none arrives in time.
SECOND_FETCH_MS = 700
MAX_FETCHES = 2
#: An answer that has not come by then is none; part of the bound within
#: which a configuration has to be in force, which is two seconds or more.
FETCH_TIMEOUT_MS = 2_000
#: A fetch whose end was not told this much later has ended.
FETCH_GRACE_MS = 500
#: Gateways that follow the store by themselves; the loss of two of them at
#: once leaves one that tells the others.
MAX_WATCHERS = 3
#: A gateway to which the store has told nothing for longer than a watch
#: lasts does not count as one of them.
FRESH_MS = store_watch.WATCH_MS + 1_000


def watch_store(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Follows the store, or leaves that to others.

    A call to the store is paid for; what a few gateways hear from it, they
    tell the others within a fraction of a second.
    """
    if not state.link.reachable:
        return []
    mine = routes.hash_fraction(state.host_id)
    before_me = 0
    for host_id, peer in state.peers_by_id.items():
        age_ms = peer.digest.store_age_ms + stamp.now_ms - peer.last_seen_ms
        if age_ms < FRESH_MS and routes.hash_fraction(host_id) < mine:
            before_me += 1
    if before_me >= MAX_WATCHERS:
        return []
    return state.values.on_tick(stamp)


@REDUCER.handles(events.DigestReceived)
def on_digest(
    state: State, stamp: core_events.Stamp, event: events.DigestReceived
) -> list[Any]:
    digest = event.digest
    if digest.sender == state.host_id:
        return []
    known = state.peers_by_id.get(digest.sender)
    if known is not None and known.digest.incarnation == digest.incarnation:
        if known.digest.sequence >= digest.sequence:
            return []
    state.peers_by_id[digest.sender] = gateway_state.Peer(digest, stamp.now_ms)
    state.peer_addresses_by_id[digest.sender] = digest.address
    state.loads.merge_remote(
        digest.sender, digest.loads_by_server, stamp.now_ms
    )
    state.crashes.merge_remote(digest.crashes, stamp.now_ms)
    if digest.revision <= state.values.revision:
        state.values.confirm(stamp.now_ms - digest.store_age_ms)
    return []


@REDUCER.handles(events.NoteReceived)
def on_note(
    state: State, stamp: core_events.Stamp, event: events.NoteReceived
) -> list[Any]:
    """Counts what another gateway sent since its latest digest."""
    note = event.note
    peer = state.peers_by_id.get(note.sender)
    server = state.fleet.servers_by_id.get(note.prefill.server)
    if peer is None or server is None:
        return []
    if note.sequence >= peer.digest.sequence:
        state.loads.add_remote(note.sender, server.id, note.load, stamp.now_ms)
    state.prefixes.record_prefill(
        note.prefill, state.cache_tokens(server.service), stamp.now_ms
    )
    return []


def broadcast_note(
    state: State, record_prefill: digests.Prefill, load: digests.ServerLoad
) -> list[Any]:
    """Tells others of an attempt that is sent to a backend server."""
    addresses = [
        peer.digest.address
        for peer in state.peers_by_id.values()
        if not peer.digest.stopping
    ]
    if not addresses:
        return []
    chosen = _in_turn(addresses, state.next_attempt, NOTE_FANOUT)
    shared = record_prefill._replace(blocks=tuple(record_prefill.blocks[:-1]))
    note = digests.Note(state.host_id, state.digest_count, load, shared)
    return [effects.SendNote(chosen, note)]


@REDUCER.handles(events.BeliefsOffered)
def on_beliefs(
    state: State, stamp: core_events.Stamp, event: events.BeliefsOffered
) -> list[Any]:
    outputs = state.values.merge_view(stamp, event.store_view)
    return gateway_state.apply_notices(state, stamp, outputs)


def send_digests(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Sends a digest when one is due, and forgets silent gateways."""
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
    known = set(state.peer_addresses_by_id.values()) or set(state.seeds)
    addresses = sorted(known - {state.digest_address})
    if not addresses:
        return []
    count = len(addresses) if state.has_unshared_changes else DIGEST_FANOUT
    state.has_unshared_changes = False
    chosen = _in_turn(addresses, state.digest_count, count)
    state.digest_count += 1
    return [effects.SendDigest(chosen, build_digest(state, now_ms))]


def _in_turn(addresses: list[str], turn: int, count: int) -> tuple[str, ...]:
    """Returns some addresses, the next ones at the next turn."""
    count = min(len(addresses), count)
    first = turn * count
    return tuple(addresses[(first + n) % len(addresses)] for n in range(count))


def build_digest(state: State, now_ms: int) -> digests.Digest:
    """Builds what this gateway tells others."""
    return digests.Digest(
        state.host_id,
        state.incarnation,
        state.digest_count,
        state.digest_address,
        state.stopping,
        state.values.changed_revision,
        now_ms - state.values.store_confirmed_ms,
        state.loads.local(),
        state.crashes.local(now_ms),
        state.rollouts.evidence(now_ms),
    )


def store_view_since(
    state: State, revision: int, now_ms: int
) -> digests.StoreView:
    """Returns what another gateway lacks that knows a store revision."""
    deadline_ms = state.lapse_deadline_ms
    if state.link.reachable and state.link.recovered_ms:
        regained_ms = state.link.recovered_ms
        deadline_ms = max(deadline_ms, regained_ms + fleet.LAPSE_GRACE_MS)
    return state.values.view_since(revision, max(0, deadline_ms - now_ms))


def fetch_missing_changes(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Fetches from another gateway what the store did not tell."""
    revision = state.values.revision
    ahead = [
        peer.digest.address
        for peer in state.peers_by_id.values()
        if peer.digest.revision > revision
    ]
    if not ahead:
        state.behind_since_ms = 0
        return []
    state.behind_since_ms = state.behind_since_ms or stamp.now_ms
    patience_ms = 0
    if revision and stamp.now_ms - state.values.store_confirmed_ms < FRESH_MS:
        patience_ms = FETCH_DELAY_MS
    due_ms = max(state.behind_since_ms + patience_ms, state.fetch_deadline_ms)
    if stamp.now_ms < due_ms or not _may_fetch(state, stamp.now_ms):
        return []
    others = [
        each for each in ahead if each not in state.fetched_ms_by_address
    ]
    if not others:
        return []
    state.fetch_deadline_ms = stamp.now_ms + FETCH_INTERVAL_MS
    address = others[stamp.seed % len(others)]
    state.fetched_ms_by_address[address] = stamp.now_ms
    return [effects.FetchBeliefs(address, revision)]


def _may_fetch(state: State, now_ms: int) -> bool:
    """Tells whether one more gateway may be asked for beliefs."""
    asked_ms_by_address = state.fetched_ms_by_address
    for address, asked_ms in list(asked_ms_by_address.items()):
        if now_ms - asked_ms > FETCH_TIMEOUT_MS + FETCH_GRACE_MS:
            del asked_ms_by_address[address]
    if len(asked_ms_by_address) >= MAX_FETCHES:
        return False
    return all(
        now_ms - asked_ms >= SECOND_FETCH_MS
        for asked_ms in asked_ms_by_address.values()
    )


@REDUCER.handles(events.FetchEnded)
def on_fetch_ended(
    state: State, stamp: core_events.Stamp, event: events.FetchEnded
) -> list[Any]:
    state.fetched_ms_by_address.pop(event.address, None)
    return []
