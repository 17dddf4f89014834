"""Routing table: finds the route of a request and the owner of its key."""

import bisect
from typing import NamedTuple

import xxhash

from ragwortgw_gateway import documents

MAX_HASH = 2**64


def hash_fraction(text: str) -> float:
    """Hashes a text to a number from 0 to 1, the same in every process."""
    return xxhash.xxh64_intdigest(text.encode()) / MAX_HASH


class TimeBounds(NamedTuple):
    """The shortest objective and timeout of several routes, in ms."""

    objective_ms: int
    timeout_ms: int


class RouteTable:
    """Routes and keys of one configuration, indexed for look-ups.

    Attributes:
      requires_key: Whether requests to routes that are not public need a
        key; true if any organisation is configured.
    """

    def __init__(self, configuration: documents.Configuration) -> None:
        self._routes_by_host: dict[str, dict[str, documents.Route]] = {}
        for route in configuration.routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host, {})
            routes_by_prefix[route.prefix] = route
        self._organisations_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.requires_key = bool(configuration.organisations)
        self._bounds_by_service_rank: dict[tuple[str, int], TimeBounds] = {}
        for route in configuration.routes:
            for target in route.targets:
                self._tighten((target.service, route.priority), route)

    def strictest_bounds(self, service: str, rank: int) -> TimeBounds | None:
        """Returns the shortest limits of a service's routes up to a rank.

        Less urgent requests have to leave capacity for more urgent ones, so
        that the limits of those apply to them as well.

        Args:
          service: The service.
          rank: The least urgent rank that counts.
        Returns: The limits, None if the service has no such route.
        """
        applicable = [
            bounds
            for (
                route_service,
                priority,
            ), bounds in self._bounds_by_service_rank.items()
            if route_service == service and priority <= rank
        ]
        if not applicable:
            return None
        return TimeBounds(
            min(bounds.objective_ms for bounds in applicable),
            min(bounds.timeout_ms for bounds in applicable),
        )

    def _tighten(self, key: tuple[str, int], route: documents.Route) -> None:
        """Lowers the limits of a (service, rank) to those of a route."""
        known = self._bounds_by_service_rank.get(key)
        bounds = TimeBounds(route.objective_ms, route.timeout_ms)
        if known is not None:
            bounds = TimeBounds(*map(min, known, bounds))
        self._bounds_by_service_rank[key] = bounds

    def match(self, host: str, path: str) -> documents.Route | None:
        """Finds the route with the longest prefix of a path.

        Prefixes end with a slash, so that only prefixes of the path that
        end with one of its slashes are looked up.

        Args:
          host: Host header.
          path: Path without the query.
        Returns: The route, None if no route matches.
        """
        routes_by_prefix = self._routes_by_host.get(host)
        end = path.rfind('/')
        while routes_by_prefix and end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_organisation(self, key: str) -> documents.Organisation | None:
        """Returns the organisation that owns a key, None if it is unknown."""
        return self._organisations_by_key.get(key)


def choose_target(route: documents.Route, text: str) -> str:
    """Chooses one of a route's services by weight.

    Args:
      route: The route.
      text: Session or request id, which is hashed; the same text always
        gets the same service.
    Returns: Id of the service.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    cumulative: list[int] = []
    for target in route.targets:
        cumulative.append(
            (cumulative[-1] if cumulative else 0) + target.weight
        )
    point = hash_fraction(text) * cumulative[-1]
    position = bisect.bisect_right(cumulative, point)
    return route.targets[min(position, len(cumulative) - 1)].service
