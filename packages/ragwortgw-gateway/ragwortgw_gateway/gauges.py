"""Gauges of a gateway's present state, for its metrics."""

from collections.abc import Iterator
from typing import NamedTuple

from ragwortgw_core import effects as core_effects
from ragwortgw_core import platform
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import shares


class Gauge(NamedTuple):
    """One sample of a metric; labels are (name, value) pairs."""

    metric: str
    labels: tuple[tuple[str, str], ...]
    value: float


def collect(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    """Collects all gauges.

    Args:
      state: The gateway.
      now_ms: The time.
    Returns: Samples; those of one metric are consecutive.
    """
    yield from _connectivity(state, now_ms)
    yield from _requests(state, now_ms)
    yield from _unanswered(state)
    yield from _shares(state)
    yield from _waits(state, now_ms)
    yield from _budgets(state, now_ms)
    yield from _rollouts(state, now_ms)
    yield from _evacuations(state, now_ms)
    yield from _servers(state, now_ms)


def count_bytes(
    state: gateway_state.State, purpose: str, zone: str, size: int
) -> core_effects.Count:
    """Returns the count of bytes between this gateway and another process.

    Args:
      state: The gateway.
      purpose: What they are for.
      zone: Zone of the other process, '' if unknown.
      size: The bytes.
    """
    way = 'unknown'
    if zone and state.zone:
        way = 'same' if zone == state.zone else 'other'
    labels = (('purpose', purpose), ('zone', way))
    return core_effects.Count('gateway_bytes', labels, size)


def _connectivity(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    last_seen_ms = [peer.last_seen_ms for peer in state.peers_by_id.values()]
    oldest_ms = now_ms - min(last_seen_ms, default=now_ms)
    values_by_metric = {
        'gateway_ready': state.ready,
        'gateway_configuration_version': state.version,
        'gateway_store_epoch': state.values.epoch,
        'gateway_store_revision': platform.number_of(state.values.revision),
        'gateway_store_settling_ms': max(0, state.settle_deadline_ms - now_ms),
        'gateway_store_reachable': state.link.reachable,
        'gateway_store_age_ms': now_ms - state.values.confirmed_ms,
        'gateway_peers': len(last_seen_ms),
        'gateway_blocks_in_quarantine': len(state.quarantine.blocks),
        'gateway_blocks_confined': len(state.block_trials.confined),
        'gateway_oldest_digest_ms': oldest_ms,
        'gateway_servers_cold': len(state.cold_servers.by_id),
        'gateway_turn_takers': len(state.ring.share.members),
    }
    for metric, value in values_by_metric.items():
        yield Gauge(metric, (), float(value))


def _requests(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    """Requests in progress, and those of them without an attempt, by rank."""
    active_by_rank: dict[int, int] = {}
    waiting_by_rank: dict[int, int] = {}
    oldest_ms_by_rank: dict[int, int] = {}
    for active in state.requests_by_id.values():
        rank = active.priority
        active_by_rank[rank] = active_by_rank.get(rank, 0) + 1
        if active.attempts_by_id:
            continue
        waiting_by_rank[rank] = waiting_by_rank.get(rank, 0) + 1
        age_ms = now_ms - active.request.received_ms
        oldest_ms_by_rank[rank] = max(oldest_ms_by_rank.get(rank, 0), age_ms)
    for metric, by_rank in (
        ('gateway_requests_active', active_by_rank),
        ('gateway_requests_waiting', waiting_by_rank),
        ('gateway_oldest_waiting_ms', oldest_ms_by_rank),
    ):
        for rank, value in sorted(by_rank.items()):
            yield Gauge(metric, (('rank', str(rank)),), float(value))
    held_count = len(state.held_requests_by_id)
    yield Gauge('gateway_requests_held', (), float(held_count))


def _unanswered(state: gateway_state.State) -> Iterator[Gauge]:
    """Requests that a server has and has not begun to answer, by route."""
    count_by_route: dict[str, int] = {}
    for active in state.requests_by_id.values():
        if any(
            not each.answered_ms for each in active.attempts_by_id.values()
        ):
            route_id = active.route.id
            count_by_route[route_id] = count_by_route.get(route_id, 0) + 1
    for route_id, count in sorted(count_by_route.items()):
        labels = (('route', route_id),)
        yield Gauge('gateway_requests_unanswered', labels, float(count))


def _shares(state: gateway_state.State) -> Iterator[Gauge]:
    """Fraction served lately of each route and organisation."""
    fractions = state.shares.fractions(shares.WHOLE_KINDS)
    for (service, each), fraction in sorted(fractions.items()):
        labels = (('service', service), ('kind', each.kind), ('id', each.id))
        yield Gauge('gateway_share_served', labels, fraction)


def _waits(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    """By how much requests lately waited longer than forecast."""
    for queue, factor in sorted(state.waits.factors(now_ms).items()):
        labels = (
            ('service', queue.service),
            ('route', queue.route_id),
            ('urgency', str(queue.urgency)),
        )
        yield Gauge('gateway_wait_factor', labels, factor)


def _budgets(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    for service in state.budget.services():
        retries = state.budget.available(service, state.gateway_count, now_ms)
        labels = (('service', service),)
        yield Gauge('gateway_retry_budget_left', labels, retries)


def _rollouts(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    for service, track in state.rollouts.tracks_by_service.items():
        labels = (
            ('service', service),
            ('version', track.order.version),
            ('phase', track.phase),
        )
        elapsed_ms = float(track.elapsed_ms(now_ms))
        yield Gauge('gateway_rollout_elapsed_ms', labels, elapsed_ms)


def _evacuations(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    """Time for which zones have been evacuated."""
    for zone, evacuation in state.evacuations.by_zone.items():
        age_ms = float(now_ms - evacuation.since_ms)
        yield Gauge('gateway_zone_evacuated_ms', (('zone', zone),), age_ms)


def _servers(state: gateway_state.State, now_ms: int) -> Iterator[Gauge]:
    """State and load of each server, age of its last data (-1 for none)."""
    servers = state.fleet.servers_by_id.values()
    for server in servers:
        condition = 'draining' if server.draining else 'serving'
        if server.id in state.fleet.leaving_ids and not server.draining:
            condition = 'leaving'
        if state.cold_servers.find(server) is not None:
            condition = 'cold'
        if state.backoff.paused(server, now_ms):
            condition = 'paused'
        if state.outliers.suspended(server.id, now_ms):
            condition = 'suspended'
        if server.zone in state.evacuations.by_zone:
            condition = 'evacuated'
        labels = (
            ('server', server.id),
            ('service', server.service),
            ('state', condition),
        )
        seen_ms = state.last_seen_ms_by_server.get(server.id)
        age_ms = -1.0 if seen_ms is None else float(now_ms - seen_ms)
        yield Gauge('gateway_server_heard_age_ms', labels, age_ms)
    for server in servers:
        limit_per_s = state.rate_limits.limit_per_s(server)
        if limit_per_s is not None:
            yield Gauge(
                'gateway_server_limit_per_s',
                (('server', server.id),),
                limit_per_s,
            )
    for server in servers:
        running = float(state.loads.outstanding(server.id).running)
        yield Gauge(
            'gateway_server_running', (('server', server.id),), running
        )
