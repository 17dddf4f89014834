"""The gateway's process: its reducer between callers and servers."""

from collections.abc import Callable
from collections.abc import Iterator
import os
import signal
import sys
import time
from typing import Any, NamedTuple, Protocol
import uuid

import prometheus_client

from ragwortgw_core import budgets
from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_core import recording
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import events
from ragwortgw_gateway import formats as store_formats
from ragwortgw_gateway import gateway
from ragwortgw_gateway import gauges
from ragwortgw_gateway import gossip
from ragwortgw_gateway import previews
from ragwortgw_server import backend_calls
from ragwortgw_server import bounded_stream
from ragwortgw_server import clock
from ragwortgw_server import connections
from ragwortgw_server import gateway_callers
from ragwortgw_server import gateway_effects
from ragwortgw_server import gateway_peers
from ragwortgw_server import gateway_protocol
from ragwortgw_server import health_api
from ragwortgw_server import http_client
from ragwortgw_server import http_exchange
from ragwortgw_server import http_server
from ragwortgw_server import loop as loops
from ragwortgw_server import memory_budget
from ragwortgw_server import preview_api
from ragwortgw_server import shell
from ragwortgw_server import timeline

#: Lines of the log, a second and at once; lines on single requests leave
#: the last part to changes of belief.
LINES_PER_S = 400.0
BURST_LINES = 1_600.0
RESERVED_LINES = 800.0
#: Lines that tell of a change of what the process believes.
CHANGE_KINDS = frozenset(
    {
        'configuration',
        'rollout-candidate-bad',
        'rollout-order-held',
        'rollout-ordered',
        'rollout-phase',
        'rollout-step',
        'rollout-step-written',
        'server',
        'server-pause-ignored',
        'server-paused',
        'server-suspended',
        'settings-refused',
        'settings-reloaded',
        'started',
        'flushing',
        'stopped',
        'stopping',
        'store-lost',
        'store-regained',
        'store-restored',
        'store-settled',
        'value-unreadable',
        'zone-evacuated',
        'zone-evacuation-held',
        'zone-restored',
    }
)
LEFT_OUT_INTERVAL_MS = 1_000
STANDARD_OUTPUT = 1
#: What the listeners for readiness and metrics may take up; few ask there.
FEW_CONNECTIONS = 64
FEW_BODY_BYTES = 1024 * 1024
#: Connections of other gateways.
PEER_CONNECTIONS = 512
#: Time between two looks for connections to be cut for memory.
RELIEF_PAUSE_S = 0.01
MS_PER_S = 1_000


class Settings(NamedTuple):
    """Settings of a gateway.

    Args:
      id: Id of the host.
      zone: Availability zone.
      caller_listen: Where callers are served, 'ip:port'.
      ready_listen: Where the balancer asks whether it may send callers.
      ready_path: Path of that question.
      peer_listen: Where other gateways send digests and ask for beliefs.
      metrics_listen: Where metrics are served, '' for nowhere.
      seeds: Addresses of gateways to speak to before the store told any.
      connection_limit: Connections of callers at a time.
      body_limit_bytes: Bodies of requests without a whole answer, all
        together.
      options: Limits of the decisions.
      memory_limit_bytes: What may be held for callers, servers and other
        gateways, all together; 0 for no limit.
      peer_limit_bytes: Bodies that other gateways send, all together.
      held_answer_bytes: Size up to which a plain answer is passed on only
        once it is whole.
      caller_stall_ms: Time for which a caller may read nothing while a
        backend server is not read for it.
    """

    id: str
    zone: str
    caller_listen: str
    ready_listen: str
    ready_path: str
    peer_listen: str
    metrics_listen: str
    seeds: tuple[str, ...]
    connection_limit: int
    body_limit_bytes: int
    options: gateway.Options
    memory_limit_bytes: int = 0
    peer_limit_bytes: int = 8 * 1024 * 1024
    held_answer_bytes: int = backend_calls.HELD_ANSWER_BYTES
    caller_stall_ms: int = gateway_callers.STALL_MS


class Reloaded(NamedTuple):
    """Settings that were read again.

    Args:
      settings: All of them.
      changed: Names of those that differ and may change at once.
      needs_restart: Names of those that differ and may not.
    """

    settings: Settings
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


class RefusedSettings(NamedTuple):
    """Settings that were read again and have faults; one line for each."""

    faults: tuple[str, ...]


class Store(Protocol):
    """A deployment's store."""

    async def call(
        self, call: platform.Call, deadline_ms: int
    ) -> platform.Result:
        """Makes one call; its result is Unavailable without an answer."""


class Deployment(NamedTuple):
    """What the gateway needs to know of the place that it runs in.

    Args:
      protocol: Headers of callers and backend servers.
      formats: Keys and values of the store.
      open_store: Makes the client of the store.
      reload: Reads the settings again.
    """

    protocol: gateway_protocol.BackendProtocol
    formats: store_formats.Formats
    open_store: Callable[[http_client.HttpClient], Store]
    reload: Callable[[], 'Reloaded | RefusedSettings']


class GatewayProcess(shell.Shell):
    """A gateway with its listeners and clients."""

    def __init__(
        self, loop: loops.Loop, settings: Settings, deployment: Deployment
    ) -> None:
        incarnation = f'{settings.id}-{uuid.uuid4().hex[:12]}'
        self.log = bounded_stream.BoundedStream(STANDARD_OUTPUT)
        super().__init__(
            loop,
            gateway.REDUCER,
            gateway.new_gateway,
            recording.Start(
                'gateway',
                (
                    settings.id,
                    incarnation,
                    settings.zone,
                    settings.peer_listen,
                    deployment.formats,
                    settings.options,
                    settings.seeds,
                ),
            ),
            timeline.Timeline(settings.id, 'gateway', settings.zone, self.log),
        )
        self.use(gateway_effects.applies)
        self.settings = settings
        self._deployment = deployment
        connections.open_connections(loop).probes = True
        self.http = http_client.open_http_client(loop)
        self.store = deployment.open_store(self.http)
        self.callers = gateway_callers.GatewayCallers(
            deployment.protocol, self.emit
        )
        self.calls = backend_calls.BackendCalls(
            loop, deployment.protocol, self.callers, self.emit
        )
        self.budget = connections.open_connections(loop).budget
        self.budget.on_exceeded = self._schedule_relief
        self._relief_due = False
        self.callers.on_cut = self._count_cut
        self._apply_limits(settings)
        self.peers = gateway_peers.GatewayPeers(
            self.http, self._beliefs, self.emit
        )
        self.health = health_api.new_health_api(
            self.metrics, lambda: self.state.ready
        )
        self.previews = preview_api.PreviewApi(
            os.environ.get(preview_api.KEY_HASH_VARIABLE, ''), self._preview
        )
        self._open_servers()
        self.metrics.read_gauges(self._gauges)
        prometheus_client.ProcessCollector(registry=self.metrics.registry)
        self._tick_due_ms = 0.0
        self._lines = budgets.TokenBucket(LINES_PER_S, BURST_LINES)
        self._lines_left_out = 0
        self._left_out_deadline_ms = 0

    def _apply_limits(self, settings: Settings) -> None:
        """Puts limits of the settings into force."""
        self.budget.limit_bytes = settings.memory_limit_bytes
        self.calls.held_answer_bytes = settings.held_answer_bytes
        self.callers.stall_ms = settings.caller_stall_ms

    def _open_servers(self) -> None:
        settings = self.settings
        self.caller_server = http_server.open_http_server(
            self.loop,
            settings.caller_listen,
            self.callers.handle,
            limits=http_server.Limits(
                connections=settings.connection_limit,
                total_body_bytes=settings.body_limit_bytes,
            ),
            on_refused=self._count_refused,
        )
        few = http_server.Limits(
            connections=FEW_CONNECTIONS, total_body_bytes=FEW_BODY_BYTES
        )
        self.ready_server = http_server.open_http_server(
            self.loop, settings.ready_listen, self._handle_ready, limits=few
        )
        self.peer_server = http_server.open_http_server(
            self.loop,
            settings.peer_listen,
            self.peers.handle,
            limits=http_server.Limits(
                connections=PEER_CONNECTIONS,
                total_body_bytes=settings.peer_limit_bytes,
            ),
        )
        self.metrics_server = None
        if settings.metrics_listen:
            self.metrics_server = http_server.open_http_server(
                self.loop,
                settings.metrics_listen,
                self._handle_metrics,
                limits=few,
            )

    def _handle_metrics(self, exchange: http_exchange.Exchange) -> None:
        """Answers on the metrics address."""
        if not self.previews.offer(exchange):
            self.health.handle(exchange)

    def _preview(self, query: previews.Query) -> Any:
        """Returns where a request would go now."""
        stamp = core_events.Stamp(clock.now_ms(), 0)
        return previews.preview(self.state, stamp, query)

    def close(self) -> None:
        """Closes listeners, clients and the log."""
        self.calls.close()
        self.peers.close()
        self.caller_server.shut()
        self.ready_server.shut()
        self.peer_server.shut()
        if self.metrics_server is not None:
            self.metrics_server.shut()
        self.http.close()
        super().close()

    async def start(self) -> None:
        """Starts to listen, to follow the store and to tick."""
        await self.peers.listen(self.settings.peer_listen)
        self.record(
            core_effects.Record(
                'started',
                {
                    'incarnation': self.state.incarnation,
                    'callers': self.settings.caller_listen,
                    'peers': self.settings.peer_listen,
                },
            )
        )
        self.start_ticks()

    def start_ticks(self) -> None:
        """Passes on which servers sent data and streams advanced; ticks."""
        if self.calls.heard:
            server_ids = tuple(self.calls.heard)
            self.calls.heard.clear()
            self.emit(events.ServersHeard(server_ids))
        if self.calls.advanced:
            advances = tuple(
                events.Advance(*item) for item in self.calls.advanced.items()
            )
            self.calls.advanced.clear()
            self.emit(events.StreamsAdvanced(advances))
        if self.calls.held_up:
            self.emit(events.AnswersHeldUp(tuple(self.calls.held_up)))
        if self.state.stopping:
            self.emit(
                events.CallersObserved(
                    self.caller_server.reading, self.caller_server.unflushed
                )
            )
        self._observe_lag()
        self._count_traffic()
        super().start_ticks()

    def _count_traffic(self) -> None:
        """Counts the bytes sent and received since the last tick."""
        for (purpose, address), size in self.peers.transferred.items():
            zone = self.state.peer_zones_by_address.get(address, '')
            self._count_bytes(purpose, zone, size)
        self.peers.transferred.clear()
        for server_id, size in self.calls.answer_bytes.items():
            server = self.state.fleet.servers_by_id.get(server_id)
            zone = '' if server is None else server.zone
            self._count_bytes('answer', zone, size)
        self.calls.answer_bytes.clear()

    def _count_bytes(self, purpose: str, zone: str, size: int) -> None:
        self.metrics.count(gauges.count_bytes(self.state, purpose, zone, size))

    def _observe_lag(self) -> None:
        """Measures how late the loop comes to a tick."""
        now_ms = time.monotonic() * MS_PER_S
        if self._tick_due_ms:
            lag_ms = max(0, round(now_ms - self._tick_due_ms))
            self.metrics.observe(
                core_effects.Observe('gateway_loop_lag_ms', (), lag_ms)
            )
        self._tick_due_ms = now_ms + shell.TICK_INTERVAL_MS

    def answer_failure(self, event: Any) -> None:
        """Refuses the caller of a request that the reducer failed on."""
        if isinstance(event, events.RequestArrived):
            self.callers.refuse(event.request.id, errors.InternalError())

    def stop(self) -> None:
        """Begins a planned stop; callers are asked to leave."""
        self.caller_server.retire()
        super().stop()

    def reload(self) -> None:
        """Reads the settings again; what may change at once does."""
        again = self._deployment.reload()
        if isinstance(again, RefusedSettings):
            self.emit(events.SettingsRefused(again.faults))
            return
        self._apply_limits(again.settings)
        self.caller_server.limits = self.caller_server.limits._replace(
            total_body_bytes=again.settings.body_limit_bytes,
        )
        self.emit(
            events.SettingsReloaded(
                again.settings.options, again.changed, again.needs_restart
            )
        )

    async def call_store(
        self, op_id: int, call: platform.Call, deadline_ms: int
    ) -> None:
        """Calls the store and passes the result on."""
        began_ms = clock.now_ms()
        result = await self.store.call(call, deadline_ms)
        labels = (
            ('call', type(call).__name__),
            ('result', type(result).__name__),
        )
        self.metrics.count(core_effects.Count('gateway_store_calls', labels))
        if not isinstance(call, platform.WatchPrefix):
            took_ms = clock.now_ms() - began_ms
            self.metrics.observe(
                core_effects.Observe('gateway_store_ms', (), took_ms)
            )
        self.emit(core_events.PlatformAnswered(op_id, result))

    def limit_callers(self, limits: documents.CallerLimits) -> None:
        """Puts new limits on callers' connections into force."""
        self.caller_server.limits = self.caller_server.limits._replace(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_ms=limits.head_ms,
            idle_ms=limits.idle_ms,
        )

    def record(self, effect: core_effects.Record) -> None:
        """Writes a line of the log, unless there are too many."""
        now_ms = clock.now_ms()
        reserve = 0.0 if effect.kind in CHANGE_KINDS else RESERVED_LINES
        if not self._lines.take(now_ms, reserve=reserve):
            self._leave_out(1)
            return
        self.timeline.record(effect)
        self._leave_out(self.log.take_left_out())
        left_out = self._lines_left_out
        if left_out and now_ms >= self._left_out_deadline_ms:
            self._left_out_deadline_ms = now_ms + LEFT_OUT_INTERVAL_MS
            self._lines_left_out = 0
            fields = {'lines': left_out}
            self.timeline.record(core_effects.Record('left-out', fields))

    def _leave_out(self, lines: int) -> None:
        """Counts lines of the log that were not written."""
        if lines:
            self._lines_left_out += lines
            self.metrics.count(
                core_effects.Count('log_lines_left_out', (), lines)
            )

    def _handle_ready(self, exchange: http_exchange.Exchange) -> None:
        if exchange.path != self.settings.ready_path:
            exchange.refuse(errors.UnknownPath(exchange.path))
            return
        exchange.respond(200 if self.state.ready else 503, [], b'')

    def _schedule_relief(self) -> None:
        """Has connections cut in the next turn of the loop."""
        if not self._relief_due:
            self._relief_due = True
            self.loop.asyncio_loop.call_soon(self._relieve)

    def _relieve(self) -> None:
        """Cuts the connections that hold most, until enough is free.

        What they hold is free once their ends were handled; further ones are
        cut only after that.
        """
        held = self._bytes_by_connection()
        by_number = dict(enumerate(held))
        chosen = memory_budget.choose_holders(
            (
                memory_budget.Holder(held[connection], number)
                for number, connection in by_number.items()
            ),
            self.budget.excess_bytes,
        )
        for holder in chosen:
            self._count_cut('', 'memory')
            by_number[holder.number].abort()
        self.loop.asyncio_loop.call_later(RELIEF_PAUSE_S, self._end_relief)

    def _bytes_by_connection(self) -> dict[connections.Connection, int]:
        """Returns what is held for each caller, the oldest first."""
        held = {
            connection: connection.buffered_bytes
            for connection in self.caller_server.caller_connections()
        }
        for request_id, size_bytes in self.calls.bytes_by_request().items():
            connection = self.callers.connection(request_id)
            if connection is not None:
                held[connection] = held.get(connection, 0) + size_bytes
        return held

    def _end_relief(self) -> None:
        self._relief_due = False
        if self.budget.exceeded:
            self._schedule_relief()

    def _count_cut(self, request_id: str, reason: str) -> None:
        """Counts a caller whose connection is cut."""
        labels = (('reason', reason),)
        self.metrics.count(core_effects.Count('gateway_callers_cut', labels))
        fields = {
            'request': request_id,
            'reason': reason,
            'held_bytes': self.budget.held_bytes,
        }
        self.record(core_effects.Record('caller-cut', fields))

    def _gauges(self) -> Iterator[gauges.Gauge]:
        yield from gauges.collect(self.state, clock.now_ms())
        for owner, held_bytes in self.budget.bytes_by_owner.items():
            labels = (('owner', owner),)
            yield gauges.Gauge('gateway_held_bytes', labels, held_bytes)
        limit_bytes = float(self.budget.limit_bytes)
        yield gauges.Gauge('gateway_held_bytes_limit', (), limit_bytes)

    def _beliefs(self, revision: int) -> digests.StoreView:
        return gossip.store_view_since(self.state, revision, clock.now_ms())

    def _count_refused(self, failure: Any) -> None:
        """Counts a request that was refused before it was whole."""
        labels = (('failure', failure.slug),)
        self.metrics.count(core_effects.Count('http_refused', labels))
        fields = {
            'failure': failure.slug,
            'status': failure.status,
            'reason': getattr(failure, 'reason', ''),
        }
        self.record(core_effects.Record('request-malformed', fields))


def run(settings: Settings, deployment: Deployment) -> None:
    """Runs a gateway until it is told to stop.

    Args:
      settings: Its settings.
      deployment: The place that it runs in.
    """
    with loops.open_loop() as loop:
        with GatewayProcess(loop, settings, deployment) as process:
            loop.on_signal(signal.SIGHUP, process.reload)
            shell.run(process, settings.options.stop_ms)
            sys.stdout.flush()
