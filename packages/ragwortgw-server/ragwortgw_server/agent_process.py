"""The agent's process: its reducer between entries and backend server."""

import asyncio
from typing import Any

from returns.result import Success

from ragwortgw_core import agent
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import recording
from ragwortgw_core import requests
from ragwortgw_server import agent_server
from ragwortgw_server import clock
from ragwortgw_server import engine_client
from ragwortgw_server import entry_streams
from ragwortgw_server import health_api
from ragwortgw_server import http_client
from ragwortgw_server import http_server
from ragwortgw_server import loop as loops
from ragwortgw_server import outlets
from ragwortgw_server import registries
from ragwortgw_server import settings as settings_module
from ragwortgw_server import shell
from ragwortgw_server import timeline
from ragwortgw_server import tls
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_pb2 as pb

#: The agent waits longer than an entry, which tries a new connection first.
SILENCE_FACTOR = 3
LOAD_LIMIT_MS = 2_000
ORDER_LIMIT_MS = 60_000
CACHE_EVENTS_INTERVAL_MS = 500

#: Functions (process, effect) by the type of an agent's effect.
applies = registries.Registry()


class AgentProcess(shell.Shell):
    """An agent with its listeners and clients."""

    def __init__(
        self, loop: loops.Loop, settings: settings_module.AgentSettings
    ) -> None:
        options = agent.Options(stop_ms=settings.stop_timeout_ms)
        arguments = (
            settings.id,
            settings.backend_name,
            settings.zone,
            (),
            settings.slots,
            options,
        )
        super().__init__(
            loop,
            agent.REDUCER,
            agent.new_agent,
            recording.Start('agent', arguments),
            timeline.open_timeline(
                settings.id, 'agent', settings.zone, settings.timeline
            ),
            settings.recording,
        )
        self.use(applies)
        self.settings = settings
        self.http = http_client.open_http_client(loop)
        self.engine = engine_client.open_engine_client(
            self.http, settings.backend
        )
        self.server = agent_server.AgentServer(
            self.emit,
            self.status,
            SILENCE_FACTOR * settings.silence_limit_ms,
            self.timeline,
        )
        self.health = health_api.new_health_api(self.metrics, self._ready)
        self.health_server = http_server.open_http_server(
            loop, settings.metrics_listen, self.health.handle
        )
        self._exiting = False

    def close(self) -> None:
        """Closes listeners, clients and files."""
        self.server.close()
        self.health_server.shut()
        self.http.close()
        super().close()

    def status(self) -> entry_streams.Status:
        """Tells entries what the agent serves."""
        state = self.state
        return entry_streams.Status(
            state.agent_id,
            state.backend,
            state.zone,
            state.versions,
            state.slots,
            state.revision,
            state.store.advertised_at_ms,
        )

    def answer_failure(self, event: Any) -> None:
        """Ends an attempt; whether it runs is not known."""
        if isinstance(event, events.DispatchReceived):
            outlet = self.server.outlet(event.dispatch.attempt_id)
            if outlet is not None:
                outlet.break_off('unknown', False, 'internal-error')

    async def start(self) -> None:
        """Starts to listen and to watch the backend server."""
        contexts = tls.mutual_contexts(
            self.settings.internal_tls_cert,
            self.settings.internal_tls_key,
            self.settings.internal_tls_ca,
        )
        self.emit(await self._read_load())
        host, _, port = self.settings.grpc_listen.rpartition(':')
        address = await self.server.listen(
            host, int(port), contexts[0] if contexts else None
        )
        self.start_ticks()
        self.spawn(self._watch_load())
        if self.settings.backend_kind == 'chat':
            self.spawn(self._watch_cache())
        shell.print_ready(
            grpc_address=address, admin_address=self.health_server.address
        )

    def exit(self) -> None:
        """Ends the process once entries have all that was sent."""
        if not self._exiting:
            self._exiting = True
            self.spawn(self._exit())

    async def run_on_engine(self, dispatch: requests.Dispatch) -> None:
        """Runs an attempt; pieces go to the entry without the reducer."""
        attempt_id = dispatch.attempt_id
        outlet = self.server.outlet(attempt_id)

        def on_started() -> None:
            if outlet is not None:
                outlet.start()
            self.emit(events.EngineStarted(attempt_id))

        async def on_chunk(piece: bytes) -> None:
            if outlet is None:
                return
            try:
                await outlet.put(piece)
            except outlets.OutletClosed:
                return

        result = await self.engine.run(dispatch, on_started, on_chunk)
        if isinstance(result, Success):
            self.emit(events.EngineFinished(attempt_id, result.unwrap()))
        else:
            self.emit(events.EngineBroken(attempt_id, *result.failure()))

    async def order_engine(self, effect: effects.OrderEngine) -> None:
        """Passes an order on to the backend server."""
        result = await self.engine.order(
            effect.action,
            effect.version,
            effect.fencing,
            clock.now_ms() + ORDER_LIMIT_MS,
        )
        self.emit(
            events.EngineOrderAnswered(
                effect.action,
                effect.version,
                effect.fencing,
                isinstance(result, Success),
            )
        )

    def _ready(self) -> bool:
        return self.state.healthy and not self.state.leaving

    async def _read_load(self) -> events.EngineReported:
        return await self.engine.load(clock.now_ms() + LOAD_LIMIT_MS)

    async def _watch_load(self) -> None:
        while True:
            await asyncio.sleep(self.settings.load_interval_ms / 1000)
            self.emit(await self._read_load())

    async def _watch_cache(self) -> None:
        after = 0
        while True:
            await asyncio.sleep(CACHE_EVENTS_INTERVAL_MS / 1000)
            deadline_ms = clock.now_ms() + LOAD_LIMIT_MS
            for event in await self.engine.cache_events(after, deadline_ms):
                after = max(after, event.sequence)
                prefix = pb.PrefixEvent(
                    prefix=event.prefix, present=event.present
                )
                self.server.send('', pb.AgentFrame(prefix=prefix))

    async def _exit(self) -> None:
        await self.server.finish_runs(self.settings.stop_timeout_ms)
        self.loop.stop()


@applies(effects.RunOnEngine)
def apply_run(process: AgentProcess, effect: effects.RunOnEngine) -> None:
    """Sends an attempt to the backend server."""
    process.spawn(process.run_on_engine(effect.dispatch))


@applies(effects.CancelOnEngine)
def apply_cancel(
    process: AgentProcess, effect: effects.CancelOnEngine
) -> None:
    """Cancels an attempt at the backend server."""
    process.spawn(process.engine.cancel(effect.attempt_id))


@applies(effects.OrderEngine)
def apply_order(process: AgentProcess, effect: effects.OrderEngine) -> None:
    """Orders the backend server to load or unload a version."""
    process.spawn(process.order_engine(effect))


@applies(effects.RefuseAttempt)
def apply_refuse(process: AgentProcess, effect: effects.RefuseAttempt) -> None:
    """Ends an attempt before anything ran."""
    outlet = process.server.outlet(effect.attempt_id)
    if outlet is not None:
        outlet.refuse(effect.failure, effect.revision)


@applies(effects.FinishAttempt)
def apply_finish(process: AgentProcess, effect: effects.FinishAttempt) -> None:
    """Ends an attempt with a whole answer."""
    outlet = process.server.outlet(effect.attempt_id)
    if outlet is not None:
        outlet.finish(effect.answer)


@applies(effects.BreakAttempt)
def apply_break(process: AgentProcess, effect: effects.BreakAttempt) -> None:
    """Ends an attempt without a whole answer."""
    outlet = process.server.outlet(effect.attempt_id)
    if outlet is not None:
        outlet.break_off(effect.ran, effect.crashed, effect.reason)


@applies(effects.Report)
def apply_report(process: AgentProcess, effect: effects.Report) -> None:
    """Reports load and state to entries."""
    process.server.report(effect)


@applies(effects.AnnounceLeaving)
def apply_leaving(
    process: AgentProcess, effect: effects.AnnounceLeaving
) -> None:
    """Tells all entries that no new work is taken."""
    process.server.send('', pb.AgentFrame(leaving=pb.Leaving()))


@applies(effects.OfferReceipts)
def apply_receipts(
    process: AgentProcess, effect: effects.OfferReceipts
) -> None:
    """Offers an entry the bills of another that is gone."""
    bills = [convert.bill_to_wire(bill) for bill in effect.bills]
    frame = pb.AgentFrame(receipts=pb.Receipts(bills=bills))
    process.server.send(effect.entry_id, frame)


@applies(effects.SpreadStrike)
def apply_strike(process: AgentProcess, effect: effects.SpreadStrike) -> None:
    """Tells all entries of a request that ran at a crash."""
    strike = pb.StrikeNotice(**effect._asdict())
    process.server.send('', pb.AgentFrame(strike=strike))


@applies(effects.OfferConfiguration)
def apply_offer(
    process: AgentProcess, effect: effects.OfferConfiguration
) -> None:
    """Offers an entry the configuration that the agent holds."""
    configuration = convert.configuration_to_wire(
        effect.head, effect.documents, effect.confirmed_at_ms, clock.now_ms()
    )
    frame = pb.AgentFrame(configuration=configuration)
    process.server.send(effect.entry_id, frame)


@applies(effects.Exit)
def apply_exit(process: AgentProcess, effect: effects.Exit) -> None:
    """Ends the process."""
    process.exit()


def run(settings: settings_module.AgentSettings) -> None:
    """Runs an agent until it is told to stop.

    Args:
      settings: Its settings.
    """
    with loops.open_loop() as loop, AgentProcess(loop, settings) as process:
        shell.run(process, settings.stop_timeout_ms)
