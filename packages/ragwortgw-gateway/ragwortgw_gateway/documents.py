"""What operators and backend servers say of themselves, as values."""

from typing import Literal, NamedTuple

RouteKind = Literal['idempotent', 'mutating', 'streaming']


class Target(NamedTuple):
    """A service that a route sends to, with its share of the requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of one host whose path begins with a prefix.

    Args:
      id: Name of the route.
      host: Host header that it serves.
      prefix: Beginning of the path, with a slash at both ends.
      kind: What may be repeated.
      resumable: Whether a broken stream may go on at another backend
        server.
      timeout_ms: Longest time that a request may be kept waiting.
      objective_ms: Time within which an answer, or the first event of a
        stream, is on time.
      pause_ms: Longest pause between events that is on time; 0: none.
      priority: Rank, 0 is the most urgent.
      targets: Services, at least one.
      max_attempts: Backend servers that one request may run on.
      public: Whether no key is needed.
      tiers: Models that may answer, smallest first; empty where callers
        name the model.
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
        all callers together.
      cache_tokens: Memory of a model runner, in tokens; 0 for a plain
        service.
      costs_by_model: Cost of 1,000 generated tokens by model.
      token_bytes: Memory of one token, 0 where servers copy no memory.
      link_mbps: Rate at which a server copies memory from another one.
    """

    id: str
    connection_limit: int
    cache_tokens: int
    costs_by_model: dict[str, float]
    token_bytes: int = 0
    link_mbps: float = 0.0


class Organisation(NamedTuple):
    """An organisation, its keys and its rank (None: the route's)."""

    id: str
    keys: tuple[str, ...]
    priority: int | None


class CallerLimits(NamedTuple):
    """What one caller's connection may take up."""

    head_bytes: int
    body_bytes: int
    head_ms: int
    idle_ms: int


class Configuration(NamedTuple):
    """A whole configuration, as operators accepted it."""

    version: int
    routes: tuple[Route, ...]
    services_by_id: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits


class BackendServer(NamedTuple):
    """A backend server, as it registered itself.

    Args:
      id: Its id; names one start of it, mostly.
      started_ms: When it started, by its own clock; with id, this names
        one start of it without doubt.
      service: Service that it belongs to.
      address: 'ip:port'.
      zone: Availability zone.
      version: Version of its software.
      slots: Requests that it runs at once.
      draining: Whether it takes no new work.
    """

    id: str
    started_ms: int
    service: str
    address: str
    zone: str
    version: str
    slots: int
    draining: bool


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to a version.

    Args:
      service: The service.
      version: The version to move to.
      duration_ms: Time within which it has to be done.
      revision: Store revision of the order, which names it.
    """

    service: str
    version: str
    duration_ms: int
    revision: int
