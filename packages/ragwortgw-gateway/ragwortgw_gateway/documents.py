"""Values that operators and backend servers write to the store.

How a deployment encodes them is left to an implementation of
formats.Formats.
"""

from typing import Literal, NamedTuple

#: Whether requests of a route may be retried: idempotent ones always,
#: mutating ones only if they did not run, streaming ones if the stream is
#: resumable.
RouteKind = Literal['idempotent', 'mutating', 'streaming']


class Target(NamedTuple):
    """A service that a route sends to, with its weight among the targets."""

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of one host whose path begins with a prefix.

    Args:
      id: Name of the route.
      host: Host header that it matches.
      prefix: Prefix of the path, with a slash at both ends.
      kind: Whether requests may be retried.
      resumable: Whether a broken stream may be resumed at another backend
        server.
      timeout_ms: Longest time until a request gets its final answer.
      objective_ms: Time within which an answer, or the first event of a
        stream, is on time.
      event_interval_ms: Longest time between events of a stream that is on
        time, 0 for no limit.
      priority: Rank of its requests, 0 is the most urgent.
      targets: Services, at least one.
      max_attempts: Number of times that one request may run.
      public: Whether requests need no key.
      tiers: Models that may answer, smallest first; empty if callers name
        the model.
      home_regions: Regions whose servers may serve its requests; empty for
        all.
    """

    id: str
    host: str
    prefix: str
    kind: RouteKind
    resumable: bool
    timeout_ms: int
    objective_ms: int
    event_interval_ms: int
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    public: bool
    tiers: tuple[str, ...]
    home_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == 'streaming':
            return self.resumable
        return self.kind == 'idempotent'


class Service(NamedTuple):
    """A group of backend servers that do the same work.

    Args:
      id: Name of the service.
      connection_limit: Connections that each of its servers accepts from
        all gateways together, 0 if unknown.
      cache_tokens: KV cache of a model server, in tokens; 0 for a plain
        service.
      costs_by_model: Cost of 1,000 generated tokens by model.
      token_bytes: KV cache of one token, in bytes; 0 if servers can't copy
        cached blocks from each other.
      link_mbps: Rate of such copies, in Mbit/s.
      event_tokens: Tokens of one event of a stream, 0 if unknown.
      cold_start_ms: Time for which a server is cold after its start.
      cold_per_s: Requests a second that a cold server takes from all
        gateways together, 0 for no limit.
    """

    id: str
    connection_limit: int
    cache_tokens: int
    costs_by_model: dict[str, float]
    token_bytes: int = 0
    link_mbps: float = 0.0
    event_tokens: int = 0
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


class Organisation(NamedTuple):
    """An organisation with its API keys.

    Args:
      id: Name of the organisation.
      keys: Its API keys.
      priority: Rank of its requests, None for that of the route.
      home_regions: Regions whose servers may serve its requests; empty for
        all.
    """

    id: str
    keys: tuple[str, ...]
    priority: int | None
    home_regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on one caller's connection.

    Args:
      head_bytes: Largest size of a request's head.
      body_bytes: Largest size of a request's body.
      head_ms: Time in which a head has to arrive.
      idle_ms: Idle timeout between requests.
    """

    head_bytes: int
    body_bytes: int
    head_ms: int
    idle_ms: int


class Configuration(NamedTuple):
    """A complete configuration, as accepted by operators."""

    version: int
    routes: tuple[Route, ...]
    services_by_id: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits


class BackendServer(NamedTuple):
    """A backend server, as it registered itself.

    Args:
      id: Its id, which usually changes with each start.
      started_ms: When it started, by its own clock; id and started_ms
        together identify one run of the process.
      service: Service that it belongs to.
      address: 'ip:port'.
      zone: Availability zone.
      version: Version of its software.
      slots: Requests that it runs concurrently.
      draining: Whether it accepts no new work.
      cold_left_ms: Time for which it was still cold when it registered, 0 if
        it was warm.
    """

    id: str
    started_ms: int
    service: str
    address: str
    zone: str
    version: str
    slots: int
    draining: bool
    cold_left_ms: float = 0.0


class RolloutOrder(NamedTuple):
    """An operator's order to roll a service out to a version.

    Args:
      service: The service.
      version: The new version.
      duration_ms: Time within which the roll-out has to be complete.
      revision: Store revision of the order, which identifies it.
    """

    service: str
    version: str
    duration_ms: int
    revision: int
