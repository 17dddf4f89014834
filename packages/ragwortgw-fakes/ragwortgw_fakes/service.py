"""Stand-in for a plain service: lunch card balances, top-ups, orders."""

import asyncio
import collections
from typing import Any

import msgspec
import xxhash

from ragwortgw_fakes import backend
from ragwortgw_fakes import http
from ragwortgw_fakes import serving

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


def digest(method: str, path: str, body: bytes) -> str:
    """Returns the checksum by which an answer names its request."""
    return xxhash.xxh3_64_hexdigest(f'{method} {path}\0'.encode() + body)


class ServiceFake(backend.BackendFake):
    """The service; it repeats whatever it is asked to repeat.

    GET /balance/<card> reads; POST /topups {"card", "cents"} adds; any
    other path is answered too. Methods other than GET, HEAD and OPTIONS
    count as effects. Control fields beside those of all backend servers:

    lose_answer: The next N effects happen, then the answer is lost.
    service_ms: Time that each call takes.
    slots: Calls that run at once.
    """

    cancel_on_disconnect = False

    def __init__(
        self,
        versions: list[str],
        slots: int = 8,
        service_ms: float = 5.0,
        **options: Any,
    ) -> None:
        super().__init__(versions, **options)
        self.slots = slots
        self.service_ms = service_ms
        self.lose_answer = 0
        self.balances_by_card: collections.Counter[str] = collections.Counter()
        self.effects_by_request: collections.Counter[str] = (
            collections.Counter()
        )
        self.effects_by_key: collections.Counter[str] = collections.Counter()
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        for name in ('lose_answer', 'service_ms', 'slots'):
            if name in fields:
                setattr(self, name, fields[name])
        return await super().control(fields)

    def records(self) -> dict[str, Any]:
        return {
            **super().records(),
            'balances': dict(self.balances_by_card),
            'effects_by_request': dict(self.effects_by_request),
            'effects_by_key': dict(self.effects_by_key),
        }

    def load(self) -> dict[str, Any]:
        return {
            'running': self._running,
            'waiting': len(self._waiting),
            'slots': self.slots,
            'cache_fill': 0.0,
        }

    async def handle_own(self, request: http.Request) -> http.Response:
        version = request.headers.get('x-version', '')
        if version and version not in self.versions:
            return http.error_response(404, 'version-not-found')
        if len(self._waiting) >= self.max_waiting:
            return http.error_response(503, 'queue-full')
        await self._take_slot()
        record = self.begin_record(request, version)
        try:
            return await self._serve(request, record)
        finally:
            self._free_slot()
            self.end_record(record, 'done')

    async def _serve(
        self, request: http.Request, record: dict[str, Any]
    ) -> http.Response:
        if await self.strike(record, request.body):
            raise http.Drop
        await asyncio.sleep(self.service_ms / 1000)
        if record['end_ms'] is not None:
            raise http.Drop
        if self.fails(record['version'], request.path):
            self.end_record(record, 'failed')
            return http.error_response(500, 'internal')
        document = self._apply(request, record)
        if request.method not in SAFE_METHODS and self.lose_answer > 0:
            self.lose_answer -= 1
            self.end_record(record, 'answer-lost')
            raise http.Drop
        return http.json_response(200, document)

    def _apply(
        self, request: http.Request, record: dict[str, Any]
    ) -> dict[str, Any]:
        if request.method not in SAFE_METHODS:
            self.effects_by_request[record['request_id']] += 1
            self.effects_by_key[record['idempotency_key']] += 1
            self.write_record('effect', record)
        answer: dict[str, Any] = {
            'method': request.method,
            'path': request.path,
            'version': record['version'],
            'digest': digest(request.method, request.path, request.body),
        }
        parts = request.path.strip('/').split('/')
        if parts[0] == 'balance' and len(parts) > 1:
            answer['cents'] = self.balances_by_card[parts[1]]
        if request.method == 'POST' and parts[0] == 'topups':
            order = msgspec.json.decode(request.body)
            self.balances_by_card[order['card']] += int(order['cents'])
            answer['cents'] = self.balances_by_card[order['card']]
        return answer

    async def _take_slot(self) -> None:
        if self._running < self.slots:
            self._running += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        self.note_load()
        await waiter

    def _free_slot(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._running -= 1

    def forget(self) -> None:
        while self._waiting:
            self._waiting.popleft().cancel()


def main(
    *,
    port: int = 0,
    versions: str = 'lunch@v1',
    slots: int = 8,
    service_ms: float = 5.0,
    load_lag_ms: int = 300,
    fencing: str = 'honour',
    max_waiting: int = 256,
    records: str = '',
) -> None:
    """Serves a plain service.

    Args:
      port: TCP port; 0 takes a free one.
      versions: Version ids that it knows, parted by commas.
      slots: Calls that run at once.
      service_ms: Time that each call takes.
      load_lag_ms: Age of the load report.
      fencing: 'honour' or 'ignore' fencing numbers in orders.
      max_waiting: Queued calls above which requests are refused.
      records: File to which each run is appended as JSON lines.
    """
    names, qualities = backend.parse_versions(versions)
    fake = ServiceFake(
        names,
        slots,
        service_ms,
        qualities_by_version=qualities,
        load_lag_ms=load_lag_ms,
        honours_fencing=fencing == 'honour',
        max_waiting=max_waiting,
        records_path=records,
    )
    serving.run(fake, port)
