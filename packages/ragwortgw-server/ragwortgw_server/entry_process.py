"""The entry's process: its reducer between callers and agents."""

import asyncio
from collections.abc import Sequence
from typing import Any
import uuid

from returns import result as results
from returns.result import Result

from ragwortgw_core import effects
from ragwortgw_core import entry
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import recording
from ragwortgw_server import admin_api
from ragwortgw_server import agent_connections
from ragwortgw_server import agent_links
from ragwortgw_server import caller_api
from ragwortgw_server import entry_effects
from ragwortgw_server import health_api
from ragwortgw_server import http_client
from ragwortgw_server import http_exchange
from ragwortgw_server import http_server
from ragwortgw_server import loop as loops
from ragwortgw_server import peer_links
from ragwortgw_server import peer_server
from ragwortgw_server import platform_client
from ragwortgw_server import rating_client
from ragwortgw_server import settings as settings_module
from ragwortgw_server import shell
from ragwortgw_server import timeline
from ragwortgw_server import tls
from ragwortgw_wire import convert

ASK_PEERS_INTERVAL_MS = 1_000
RETRY_AFTER_MS = 1_000
ALL_AGENTS = 1_000_000


class EntryProcess(shell.Shell):
    """An entry with its listeners and clients."""

    def __init__(
        self, loop: loops.Loop, settings: settings_module.EntrySettings
    ) -> None:
        incarnation = f'{settings.id}-{uuid.uuid4().hex[:12]}'
        super().__init__(
            loop,
            entry.REDUCER,
            entry.new_entry,
            recording.Start(
                'entry',
                (
                    settings.id,
                    incarnation,
                    settings.zone,
                    settings.region,
                    _options(settings),
                ),
            ),
            timeline.open_timeline(
                settings.id, 'entry', settings.zone, settings.timeline
            ),
            settings.recording,
        )
        self.use(entry_effects.applies)
        self.settings = settings
        self.http = http_client.open_http_client(loop)
        self.platform = platform_client.open_platform_client(
            self.http, settings.platform
        )
        self.rating: rating_client.RatingClient | None = None
        if settings.rating:
            self.rating = rating_client.open_rating_client(
                self.http, settings.rating
            )
        contexts = tls.mutual_contexts(
            settings.internal_tls_cert,
            settings.internal_tls_key,
            settings.internal_tls_ca,
        )
        self._server_tls = contexts[0] if contexts else None
        self._client_tls = contexts[1] if contexts else None
        self.links = agent_links.AgentLinks(
            self.status,
            self.emit,
            agent_connections.Options(
                ping_interval_ms=settings.ping_interval_ms,
                silence_ms=settings.silence_limit_ms,
            ),
            self._client_tls,
            self.timeline,
        )
        self.peers = peer_server.PeerServer(self.holding)
        self.callers = caller_api.new_caller_api(
            incarnation,
            settings.request_timeout_ms,
            self.emit,
            self.list_models,
        )
        self.operators = admin_api.AdminApi(self.emit)
        self.health = health_api.new_health_api(self.metrics, self._ready)
        self._open_servers()
        self._peer_addresses = set(settings.peers)
        self._exiting = False

    def _open_servers(self) -> None:
        settings = self.settings
        self.caller_server = http_server.open_http_server(
            self.loop,
            settings.caller_listen,
            self.callers.handle,
            limits=http_server.Limits(
                head_bytes=settings.header_limit_bytes,
                body_bytes=settings.body_limit_bytes,
                head_ms=settings.header_timeout_ms,
                body_ms=settings.body_timeout_ms,
                idle_ms=settings.idle_timeout_ms,
                connections=settings.connection_limit,
            ),
            tls=tls.server_context(
                settings.caller_tls_cert, settings.caller_tls_key
            ),
            on_refused=self._count_refused,
        )
        self.admin_server = http_server.open_http_server(
            self.loop,
            settings.admin_listen,
            self._handle_admin,
            tls=tls.server_context(
                settings.admin_tls_cert, settings.admin_tls_key
            ),
            on_refused=self._count_refused,
        )

    def close(self) -> None:
        """Closes listeners, clients and files."""
        self.links.close()
        self.peers.close()
        self.caller_server.shut()
        self.admin_server.shut()
        self.http.close()
        super().close()

    def status(self) -> agent_connections.Status:
        """Tells agents what the entry knows.

        It goes by its incarnation, so that agents offer the bills of the
        one before to whoever lives.
        """
        revision, confirmed_at_ms = entry.freshness(self.state)
        return agent_connections.Status(
            self.state.incarnation,
            self.settings.zone,
            revision,
            confirmed_at_ms,
        )

    def holding(self) -> convert.HeldConfiguration | None:
        """Returns the configuration for peers, None while there is none."""
        revision, confirmed_at_ms = entry.freshness(self.state)
        if not revision:
            return None
        head, documents_by_path = self.state.store.export()
        return convert.HeldConfiguration(
            revision,
            head,
            documents_by_path,
            confirmed_at_ms,
            self.state.hosts.hosts,
        )

    def list_models(self, key_hash: str) -> Result[Sequence[str], Any]:
        """Lists what the owner of a key may use.

        Args:
          key_hash: SHA-256 of the key in hex.
        Returns: Ids of models and cascades, or a typed failure.
        """
        snapshot = self.state.store.snapshot
        if snapshot is None:
            return results.Failure(errors.ConfigurationMissing(RETRY_AFTER_MS))
        key = snapshot.keys_by_id.get(key_hash)
        if key is None:
            return results.Failure(errors.UnknownKey())
        organisation = snapshot.organisations_by_id[key['organisation']]
        targets = {permit.split('@')[0] for permit in organisation['permits']}
        return results.Success(sorted(targets))

    def answer_failure(self, event: Any) -> None:
        """Refuses the caller or operator; what ran is not known."""
        failure = errors.InternalError()
        if isinstance(event, events.RequestReceived):
            request_id = event.request.id
            self.callers.refuse(effects.Refuse(request_id, failure, ()))
        if isinstance(event, events.CommandReceived):
            problem = errors.problem(failure)
            self.operators.answer(
                effects.AnswerOrder(
                    event.op_id, problem['status'], dict(problem)
                )
            )

    async def start(self) -> None:
        """Starts to listen, to connect and to tick."""
        host, _, port = self.settings.grpc_listen.rpartition(':')
        address = await self.peers.listen(host, int(port), self._server_tls)
        self.start_ticks()
        self.spawn(self._ask_peers())
        shell.print_ready(
            caller_address=self.caller_server.address,
            admin_address=self.admin_server.address,
            grpc_address=address,
        )

    async def call_platform(
        self, op_id: int, call: platform.Call, deadline_ms: int
    ) -> None:
        """Calls the platform service and passes the result on."""
        result = await self.platform.call(call, deadline_ms)
        if isinstance(result, platform.HostList):
            self._note_peers(result)
        self.emit(events.PlatformAnswered(op_id, result))

    def stop(self) -> None:
        """Begins a planned stop: no new callers, the rest is finished."""
        self.caller_server.drain()
        super().stop()

    def exit(self) -> None:
        """Ends the process once callers have all that was sent."""
        if not self._exiting:
            self._exiting = True
            self.spawn(self._exit())

    async def _exit(self) -> None:
        await self.caller_server.wait_flushed()
        self.loop.stop()

    def _handle_admin(self, exchange: http_exchange.Exchange) -> None:
        if not self.health.offer(exchange):
            self.operators.handle(exchange)

    def _count_refused(self, failure: Any) -> None:
        """Counts a request that was refused before it was whole."""
        labels = (('failure', failure.slug),)
        self.metrics.count(effects.Count('http_refused', labels))

    def _ready(self) -> bool:
        return self.state.store.snapshot is not None and not (
            self.state.stopping
        )

    def _note_peers(self, listed: platform.HostList) -> None:
        self._peer_addresses = set(self.settings.peers) | {
            host.address
            for host in listed.hosts
            if host.role == 'entry' and host.id != self.settings.id
        }

    async def _ask_peers(self) -> None:
        """Asks peers while the entry has no configuration or no hosts."""
        while not self.status().revision or not self.state.hosts.hosts:
            await peer_links.ask_peers(
                self._peer_addresses, 0, self.emit, self._client_tls
            )
            await asyncio.sleep(ASK_PEERS_INTERVAL_MS / 1000)


def _options(settings: settings_module.EntrySettings) -> entry.Options:
    return entry.Options(
        agent_subset=settings.agent_subset or ALL_AGENTS,
        stop_ms=settings.stop_timeout_ms,
        bootstrap_hash=settings.bootstrap_key_hash,
    )


def run(settings: settings_module.EntrySettings) -> None:
    """Runs an entry until it is told to stop.

    Args:
      settings: Its settings.
    """
    with loops.open_loop() as loop, EntryProcess(loop, settings) as process:
        shell.run(process, settings.stop_timeout_ms)
