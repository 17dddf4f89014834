"""Routing table: finds the route of a request and the owner of its key."""

import bisect
import xxhash

from ragwortgw_gateway import documents

MAX_HASH = 2**64


def hash_fraction(text: str) -> float:
    """Hashes a text to a number from 0 to 1, the same in every process."""
    return xxhash.xxh64_intdigest(text.encode()) / MAX_HASH


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
        self._routes_by_service: dict[str, list[documents.Route]] = {}
        for route in configuration.routes:
            for target in route.targets:
                self._routes_by_service.setdefault(target.service, []).append(
                    route
                )

    def routes_up_to(self, service: str, rank: int) -> list[documents.Route]:
        """Returns the routes of a service that are at least as urgent.

        Less urgent requests have to leave capacity for more urgent ones, so
        that the limits of those apply to them as well.

        Args:
          service: The service.
          rank: The least urgent rank that counts.
        """
        return [
            route
            for route in self._routes_by_service.get(service, ())
            if route.priority <= rank
        ]

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
