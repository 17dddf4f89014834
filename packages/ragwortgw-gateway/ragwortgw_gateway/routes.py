"""Finds the route of a request and the owner of its key."""

import bisect
from typing import NamedTuple

import xxhash

from ragwortgw_gateway import documents

MAX_HASH = 2**64


def hash_fraction(text: str) -> float:
    """Maps a text to a number in 0..1, the same in every process."""
    return xxhash.xxh64_intdigest(text.encode()) / MAX_HASH


class TimeBounds(NamedTuple):
    """The strictest bounds of some routes, in ms."""

    objective_ms: int
    timeout_ms: int


class RouteTable:
    """Routes and keys of one configuration, ready to be looked up."""

    def __init__(self, configuration: documents.Configuration) -> None:
        self._routes_by_host: dict[str, dict[str, documents.Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route
        self._organisations_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.requires_key = bool(configuration.organisations)
        self._bounds_by_rank: dict[tuple[str, int], TimeBounds] = {}
        for route in configuration.routes:
            for target in route.targets:
                self._tighten((target.service, route.priority), route)

    def strictest_bounds(self, service: str, rank: int) -> TimeBounds | None:
        """Returns the strictest bounds of a service's routes up to a rank.

        What is less urgent has to leave room for what is more urgent, so
        that it goes by the bounds of that as well.

        Args:
          service: The service.
          rank: The least urgent rank that counts.
        Returns: The bounds, None if the service has no such route.
        """
        found = [
            bounds
            for (each, priority), bounds in self._bounds_by_rank.items()
            if each == service and priority <= rank
        ]
        if not found:
            return None
        return TimeBounds(
            min(bounds.objective_ms for bounds in found),
            min(bounds.timeout_ms for bounds in found),
        )

    def _tighten(self, key: tuple[str, int], route: documents.Route) -> None:
        known = self._bounds_by_rank.get(key)
        bounds = TimeBounds(route.objective_ms, route.timeout_ms)
        if known is not None:
            bounds = TimeBounds(*map(min, known, bounds))
        self._bounds_by_rank[key] = bounds

    def match(self, host: str, path: str) -> documents.Route | None:
        """Finds the route with the longest prefix of a path.

        Prefixes end with a slash, so that only those that end at one of
        the path's slashes have to be looked up.

        Args:
          host: Host header.
          path: Path without the query.
        Returns: The route, None if no prefix begins the path.
        """
        by_prefix = self._routes_by_host.get(host)
        end = path.rfind('/')
        while by_prefix and end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_organisation(self, key: str) -> documents.Organisation | None:
        """Returns the organisation that holds a key."""
        return self._organisations_by_key.get(key)


def choose_target(route: documents.Route, text: str) -> str:
    """Chooses one of a route's services by weight.

    Args:
      route: The route.
      text: What decides; the same text goes to the same service.
    Returns: Id of the service.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    ends: list[int] = []
    for target in route.targets:
        ends.append((ends[-1] if ends else 0) + target.weight)
    point = hash_fraction(text) * ends[-1]
    position = bisect.bisect_right(ends, point)
    return route.targets[min(position, len(ends) - 1)].service
