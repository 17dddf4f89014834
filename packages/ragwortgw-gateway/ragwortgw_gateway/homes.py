"""Home regions: where the servers of a request may be.

Routes and organisations may name regions that their requests must not leave,
for example by law. A server in another region, or in a zone whose region is
not known, gets none of their requests, also if no other server is left.
"""

from collections.abc import Collection
from collections.abc import Mapping

from ragwortgw_gateway import documents


def home_regions(
    route: documents.Route, organisation: documents.Organisation | None
) -> frozenset[str] | None:
    """Returns the regions in which a request may be served.

    Where both the route and the organisation have home regions, both bind.

    Args:
      route: The request's route.
      organisation: Owner of its key, None if there is none.
    Returns: The regions; None if neither has any, so that all may serve it.
    """
    homes = [frozenset(route.home_regions)]
    if organisation is not None:
        homes.append(frozenset(organisation.home_regions))
    named = [each for each in homes if each]
    return frozenset.intersection(*named) if named else None


def servers_at_home(
    servers: list[documents.BackendServer],
    regions: Collection[str] | None,
    regions_by_zone: Mapping[str, str],
) -> list[documents.BackendServer]:
    """Returns the servers that may serve a request.

    Args:
      servers: Servers of its service.
      regions: Its home regions, None for all.
      regions_by_zone: Region of each availability zone.
    """
    if regions is None:
        return servers
    return [
        server
        for server in servers
        if regions_by_zone.get(server.zone) in regions
    ]
