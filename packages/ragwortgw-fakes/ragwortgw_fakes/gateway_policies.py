"""Ways of placing, of choosing models and of refusing, to be compared."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import Any, NamedTuple
import zlib

from ragwortgw_gateway import batching
from ragwortgw_gateway import documents
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import placement
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import requests

State = gateway_state.State
Score = Callable[
    [State, requests.Request, documents.BackendServer, str], float
]


class Policy(NamedTuple):
    """A policy.

    Args:
      name: Its name.
      change: Changes a gateway to follow it.
      tiers: Which models may answer: all, or the one at this place.
      ranked: Whether kinds have ranks, or are served as they come.
      oracle: Whether the server with the earliest first byte is taken, as
        only the runners themselves know it.
    """

    name: str
    change: Callable[[State], None]
    tiers: int | None
    ranked: bool
    oracle: bool = False


#: Fractions of a time limit by rank, and of the time of a stream that counts
#: as work, of the policy that adds up work.
SERIAL_FRACTIONS = (0.57, 0.48, 0.36)
SERIAL_DECODE_FRACTION = 0.35

policies_by_name: dict[str, Policy] = {}
#: Ways of choosing a server alone: one model, and nothing is refused.
choices_by_name: dict[str, Policy] = {}


def policy(
    name: str,
    tiers: int | None = None,
    ranked: bool = True,
    registry: dict[str, Policy] = policies_by_name,
    oracle: bool = False,
) -> Callable[[Callable[[State], None]], Callable[[State], None]]:
    """Registers the decorated change as a policy.

    Args: As for Policy; registry is where it is registered.
    Returns: The decorator.
    """

    def register(change: Callable[[State], None]) -> Callable[[State], None]:
        registry[name] = Policy(name, change, tiers, ranked, oracle)
        return change

    return register


class ScorePlacement:
    """Takes the server with the least score, and never refuses."""

    def __init__(self, state: State, score: Score) -> None:
        self._state = state
        self._real = state.server_selector
        self._score = score

    def choose(
        self,
        request: requests.Request,
        route: documents.Route,
        model: str,
        servers: Sequence[documents.BackendServer],
        excluded_servers: Collection[str],
        service: documents.Service | None,
        now_ms: int,
        seed: int,
        last_resort: Collection[str] = (),
    ) -> placement.ServerChoice | None:
        """Chooses a server, as placement.Placement does."""
        fresh = [each for each in servers if each.id not in excluded_servers]
        if not fresh:
            return None
        best = min(
            fresh,
            key=lambda each: (
                self._score(self._state, request, each, model),
                (seed ^ zlib.crc32(each.id.encode())) & 0xFFFF,
            ),
        )
        # What is expected to take no time is never too late.
        return placement.ServerChoice(best, batching.Forecast(0, 0), 0, True)

    def first_open_ms(self, *arguments: Any) -> int:
        """Returns when the first server takes requests again."""
        return self._real.first_open_ms(*arguments)


class PatientPlacement:
    """Places as the gateway does, and never refuses."""

    def __init__(self, real: placement.ServerSelector) -> None:
        self._real = real

    def choose(self, *arguments: Any) -> placement.ServerChoice | None:
        """Chooses a server; arguments are those of placement.Placement."""
        placed = self._real.choose(*arguments)
        if placed is None:
            return None
        forecast = placed.forecast._replace(
            first_byte_ms=placed.forecast.idle_first_byte_ms,
            stream_ms=placed.forecast.idle_stream_ms,
        )
        return placed._replace(forecast=forecast)

    def first_open_ms(self, *arguments: Any) -> int:
        """Returns when the first server takes requests again."""
        return self._real.first_open_ms(*arguments)


class SerialPlacement:
    """Adds up the work of a server as if it ran one request after another.

    A request is late where the server's work, with its own, takes more than
    a fraction of the shortest time limit of all routes as urgent.
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self._real = state.server_selector

    def choose(self, *arguments: Any) -> placement.ServerChoice | None:
        """Chooses a server; arguments are those of placement.Placement."""
        placed = self._real.choose(*arguments)
        if placed is None:
            return None
        route, now_ms = arguments[1], arguments[6]
        assert self._state.table is not None
        limit_ms = min(
            each.timeout_ms
            for each in self._state.table.routes_up_to('model', route.priority)
        )
        rank = min(route.priority, len(SERIAL_FRACTIONS) - 1)
        busy_limit_ms = limit_ms * SERIAL_FRACTIONS[rank]
        load = self._state.loads.remaining(placed.server.id, now_ms)
        decode_ms = load.work_ms - load.pending_ms
        work_ms = load.pending_ms + SERIAL_DECODE_FRACTION * decode_ms
        work_ms += placed.forecast.prefill_ms
        if work_ms <= busy_limit_ms:
            return placed
        forecast = placed.forecast._replace(first_byte_ms=1e9)
        return placed._replace(forecast=forecast)

    def first_open_ms(self, *arguments: Any) -> int:
        """Returns when the first server takes requests again."""
        return self._real.first_open_ms(*arguments)


def _use(state: State, score: Score) -> None:
    setattr(state, 'server_selector', ScorePlacement(state, score))


@policy('gateway')
def change_nothing(state: State) -> None:
    """What gateways do."""


@policy('refuse nothing')
def refuse_nothing(state: State) -> None:
    """Places and chooses models as gateways do."""
    setattr(state, 'server_selector', PatientPlacement(state.server_selector))


@policy('serial work')
def add_up_work(state: State) -> None:
    """Refuses by the sum of the work of a server."""
    setattr(state, 'server_selector', SerialPlacement(state))


@policy('rank alone')
def keep_no_shares(state: State) -> None:
    """Refuses by rank, and keeps no share for any class."""
    setattr(state.shares, 'starved_class', lambda *arguments: None)


@policy('largest model', tiers=-1)
def ask_largest(state: State) -> None:
    """Asks the largest model only; places and refuses as gateways do."""


@policy('smallest model', tiers=0)
def ask_smallest(state: State) -> None:
    """Asks the smallest model only; places and refuses as gateways do."""


@policy('first come first served', ranked=False)
def rank_nothing(state: State) -> None:
    """Gives all kinds the same rank."""


@policy('round robin', tiers=-1)
def take_turns(state: State) -> None:
    """Takes the servers in turn."""
    turns: dict[str, int] = {}

    def score(
        state: State,
        request: requests.Request,
        server: documents.BackendServer,
        model: str,
    ) -> float:
        if request.id not in turns:
            turns[request.id] = len(turns)
        count = max(1, len(state.fleet.servers_by_id))
        place = sorted(state.fleet.servers_by_id).index(server.id)
        return (place - turns[request.id]) % count

    _use(state, score)


@policy('least requests', tiers=-1)
def take_least_requests(state: State) -> None:
    """Takes the server with the fewest requests."""
    _use(
        state,
        lambda state, request, server, model: (
            state.loads.outstanding(server.id).running
        ),
    )


@policy('shortest queue', tiers=-1)
def take_shortest_queue(state: State) -> None:
    """Takes the server with the fewest tokens under way."""
    _use(
        state,
        lambda state, request, server, model: (
            state.loads.outstanding(server.id).tokens
        ),
    )


@policy('affinity only', tiers=-1)
def take_home(state: State) -> None:
    """Takes the home of the prompt's shared part, whatever its load."""
    _use(
        state,
        lambda state, request, server, model: prefixes.rendezvous_rank(
            request.prompt.affinity if request.prompt else '', server.id
        ),
    )


class ForcedPlacement:
    """Chooses a server by a function; forecasts it as the gateway does.

    Args:
      real: The gateway's selector.
      choose: Returns one of the servers, of a request, a model, the servers
        and a random number.
    """

    def __init__(
        self,
        real: placement.ServerSelector,
        choose: Callable[
            [
                requests.Request,
                str,
                Sequence[documents.BackendServer],
                int,
            ],
            documents.BackendServer,
        ],
    ) -> None:
        self._real = PatientPlacement(real)
        self._choose = choose

    def choose(
        self,
        request: requests.Request,
        route: documents.Route,
        model: str,
        servers: Sequence[documents.BackendServer],
        excluded_servers: Collection[str],
        service: documents.Service | None,
        now_ms: int,
        seed: int,
        last_resort: Collection[str] = (),
    ) -> placement.ServerChoice | None:
        """Chooses a server, as placement.ServerSelector does."""
        fresh = [each for each in servers if each.id not in excluded_servers]
        if not fresh:
            return None
        chosen = self._choose(request, model, fresh, seed)
        return self._real.choose(
            request,
            route,
            model,
            (chosen,),
            (),
            service,
            now_ms,
            seed,
            last_resort,
        )

    def first_open_ms(self, *arguments: Any) -> int:
        """Returns when the first server takes requests again."""
        return self._real.first_open_ms(*arguments)


def _known_ms(state: State, server: documents.BackendServer) -> float:
    return state.loads.outstanding(server.id).pending_ms


def _force(state: State, choose: Any) -> None:
    setattr(
        state,
        'server_selector',
        ForcedPlacement(state.server_selector, choose),
    )


@policy('gateway', tiers=1, registry=choices_by_name)
def choose_as_gateway(state: State) -> None:
    """Chooses as gateways do."""
    refuse_nothing(state)


@policy('random', tiers=1, registry=choices_by_name)
def choose_at_random(state: State) -> None:
    """Takes any server."""
    _force(
        state,
        lambda request, model, servers, seed: servers[seed % len(servers)],
    )


@policy('two choices', tiers=1, registry=choices_by_name)
def choose_of_two(state: State) -> None:
    """Takes the one of two random servers with less known work."""

    def choose(request: Any, model: str, servers: Any, seed: int) -> Any:
        first = servers[seed % len(servers)]
        second = servers[(seed >> 32) % len(servers)]
        return min(first, second, key=lambda each: _known_ms(state, each))

    _force(state, choose)


@policy('least known load', tiers=1, registry=choices_by_name)
def choose_least_known(state: State) -> None:
    """Takes the server with the least known work."""

    def choose(request: Any, model: str, servers: Any, seed: int) -> Any:
        first = seed % len(servers)
        turned = [*servers[first:], *servers[:first]]
        return min(turned, key=lambda each: _known_ms(state, each))

    _force(state, choose)


@policy('oracle', tiers=1, registry=choices_by_name, oracle=True)
def choose_as_oracle(state: State) -> None:
    """Takes the server that the simulation names."""
