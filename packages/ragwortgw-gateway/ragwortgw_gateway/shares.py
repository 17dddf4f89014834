"""Keeps a share of the service for every class of requests.

Under overload, refusals would otherwise fall on the same requests again and
again: those of the least urgent route, of one organisation, with the largest
prompts, or on one subject. A route and an organisation keep at least
KEPT_FRACTION of the rate at which all requests of the service are served;
sizes, sessions and subjects keep that fraction of the rate of their route. A
request that is refused and comes back counts once, and one that is admitted
but gets no answer counts as refused.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from ragwortgw_gateway import documents
from ragwortgw_gateway import moving
from ragwortgw_gateway import requests

#: Fraction of the overall rate of admission that each class keeps.
KEPT_FRACTION = 0.5
#: Time over which admissions are averaged.
WINDOW_MS = 10_000.0
#: Requests of a class, after averaging, before its rate is considered.
MIN_REQUESTS = 1.5
#: Classes of size, by how many standard deviations above the mean they begin:
#: about the largest tenth of a route's requests and the fifth below it.
LARGE_SIZES = (('largest', 1.28), ('large', 0.52))
#: Requests of a route before their sizes are classified.
MIN_SIZE_SAMPLES = 20
#: Classes that are remembered; the least recently seen are dropped first.
MAX_CLASSES = 8_192
#: Kinds of classes that are compared with all requests of the service; the
#: others are compared with their route.
WHOLE_KINDS = ('route', 'organisation')


class RequestClass(NamedTuple):
    """A class of requests, such as those of one organisation.

    Args:
      kind: What it is: 'route', 'organisation', 'session', 'subject' or
        'size'.
      id: Which one.
    """

    kind: str
    id: str


class _Rate:
    """Requests and admissions, with weights that fall with their age."""

    __slots__ = ('requests', 'admitted', 'at_ms')

    def __init__(self, now_ms: int) -> None:
        self.requests = self.admitted = 0.0
        self.at_ms = now_ms

    def add(self, asked: int, admitted: int, now_ms: int) -> None:
        """Counts requests; admitted ones may be taken back."""
        self.decay(now_ms)
        self.requests += asked
        self.admitted = max(0.0, self.admitted + admitted)

    def decay(self, now_ms: int) -> None:
        factor = math.exp((self.at_ms - now_ms) / WINDOW_MS)
        self.requests *= factor
        self.admitted *= factor
        self.at_ms = now_ms


def classify(
    request: requests.Request, route: documents.Route, organisation: str
) -> tuple[RequestClass, ...]:
    """Returns the classes of a request, without that of its size.

    Args:
      request: The request.
      route: Its route.
      organisation: Owner of its key, '' if there is none.
    """
    classes = [RequestClass('route', route.id)]
    if organisation:
        classes.append(RequestClass('organisation', organisation))
    if request.session:
        classes.append(RequestClass('session', request.session))
    if request.prompt is not None and request.prompt.affinity:
        classes.append(RequestClass('subject', request.prompt.affinity))
    return tuple(classes)


class SizeClassifier:
    """Tells large requests of a route from usual ones."""

    def __init__(self) -> None:
        self._spread_by_route: dict[str, moving.Spread] = {}

    def classify(self, route_id: str, size: float) -> RequestClass | None:
        """Returns the class of a large request, None for a usual one.

        Args:
          route_id: Its route.
          size: Its size in tokens, at least 1.
        """
        spread = self._spread_by_route.setdefault(route_id, moving.Spread())
        # Sizes are distributed about log-normally.
        value = math.log(size)
        spread.add(value)
        if spread.samples < MIN_SIZE_SAMPLES or not spread.deviation:
            return None
        position = (value - spread.mean) / spread.deviation
        for name, lowest in LARGE_SIZES:
            if position >= lowest:
                return RequestClass('size', f'{route_id}/{name}')
        return None


class ShareTracker:
    """Rates of admission by service and class."""

    def __init__(self) -> None:
        self._rates_by_service: dict[str, _Rate] = {}
        self._rates_by_class: collections.OrderedDict[
            tuple[str, RequestClass], _Rate
        ] = collections.OrderedDict()

    def record(
        self,
        service: str,
        classes: Iterable[RequestClass],
        admitted: bool,
        now_ms: int,
        is_retry: bool = False,
    ) -> None:
        """Counts a request that was admitted or refused.

        Args:
          service: Its service.
          classes: Its classes.
          admitted: Whether it was admitted.
          now_ms: The time.
          is_retry: Whether it was refused before. It is not counted again:
            a class whose requests come back more often is not served less.
        """
        for rate in self._rates(service, classes, now_ms):
            rate.add(not is_retry, admitted, now_ms)

    def record_unserved(
        self, service: str, classes: Iterable[RequestClass], now_ms: int
    ) -> None:
        """Counts an admitted request as refused after all."""
        for rate in self._rates(service, classes, now_ms):
            rate.add(0, -1, now_ms)

    def _rates(
        self, service: str, classes: Iterable[RequestClass], now_ms: int
    ) -> list[_Rate]:
        """Returns the rates in which a request counts; makes new ones."""
        overall = self._rates_by_service.get(service)
        if overall is None:
            overall = self._rates_by_service[service] = _Rate(now_ms)
        rates = [overall]
        for each in classes:
            key = (service, each)
            rate = self._rates_by_class.get(key)
            if rate is None:
                rate = self._rates_by_class[key] = _Rate(now_ms)
            self._rates_by_class.move_to_end(key)
            rates.append(rate)
        while len(self._rates_by_class) > MAX_CLASSES:
            self._rates_by_class.popitem(last=False)
        return rates

    def starved_class(
        self, service: str, classes: Collection[RequestClass], now_ms: int
    ) -> RequestClass | None:
        """Returns a class of a request that gets less than it keeps.

        Args:
          service: The service.
          classes: Classes of the request, that of its route included.
          now_ms: The time.
        Returns: The first such class, None if there is none.
        """
        overall = self._rates_by_service.get(service)
        route = next(
            (
                self._rates_by_class.get((service, each))
                for each in classes
                if each.kind == 'route'
            ),
            None,
        )
        for each in classes:
            whole = overall if each.kind in WHOLE_KINDS else route
            if whole is None or not whole.requests:
                continue
            kept_rate = KEPT_FRACTION * whole.admitted / whole.requests
            rate = self._rates_by_class.get((service, each))
            if rate is None:
                continue
            rate.decay(now_ms)
            if rate.requests < MIN_REQUESTS:
                continue
            if rate.admitted < kept_rate * rate.requests:
                return each
        return None

    def fractions(
        self, kinds: Collection[str]
    ) -> dict[tuple[str, RequestClass], float]:
        """Returns the fraction of requests that were served lately.

        Args:
          kinds: Kinds of classes.
        Returns: The fractions by service and class.
        """
        return {
            key: rate.admitted / rate.requests
            for key, rate in self._rates_by_class.items()
            if key[1].kind in kinds and rate.requests
        }
