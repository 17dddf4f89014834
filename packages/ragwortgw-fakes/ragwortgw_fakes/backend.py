"""What engines and plain services share: versions, orders, crashes."""

import asyncio
import collections
import os
from typing import Any
import urllib.request
import uuid

import msgspec

from ragwortgw_fakes import answers
from ragwortgw_fakes import http
from ragwortgw_fakes import serving

CRASH_STATUS = 70
MAX_LOAD_HISTORY = 4096


def parse_versions(text: str) -> tuple[list[str], dict[str, float]]:
    """Reads a list of versions.

    Args:
      text: Version ids parted by commas, each with '=quality' or without.
    Returns: The ids, and the qualities by id.
    """
    names: list[str] = []
    qualities: dict[str, float] = {}
    for part in filter(None, text.split(',')):
        name, _, quality = part.partition('=')
        names.append(name)
        if quality:
            qualities[name] = float(quality)
    return names, qualities


class BackendFake(serving.Fake):
    """A backend server; control fields beside those of all stand-ins:

    versions: Replaces the loaded versions.
    quality: Quality by version id.
    fail_share: Share of runs that end in an error 500, by version id.
    fail_next: The next N runs end in an error 500.
    poison: List of {'marker', 'mode', 'after_ms'}; a body that holds the
      marker crashes the server; mode is 'restart' or 'exit'.
    crash: 'restart' or 'exit', now.
    restart_ms: Time during which a restarting server refuses connections.
    load_lag_ms: Age of the load report.
    honours_fencing: Whether orders with an old fencing number are refused.
    """

    def __init__(
        self,
        versions: list[str],
        qualities_by_version: dict[str, float] | None = None,
        load_lag_ms: int = 300,
        honours_fencing: bool = True,
        weights_address: str = '',
        load_ms: int = 200,
        max_waiting: int = 256,
        default_quality: float = 0.8,
        records_path: str = '',
    ) -> None:
        super().__init__(records_path)
        self.versions = list(versions)
        self.qualities_by_version = dict(qualities_by_version or {})
        self.load_lag_ms = load_lag_ms
        self.honours_fencing = honours_fencing
        self.weights_address = weights_address
        self.load_ms = load_ms
        self.max_waiting = max_waiting
        self.default_quality = default_quality
        self.incarnation = uuid.uuid4().hex
        self.runs: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.crashes: list[dict[str, Any]] = []
        self.poison: list[dict[str, Any]] = [
            {'marker': 'crash=restart', 'mode': 'restart', 'after_ms': 20},
            {'marker': 'crash=exit', 'mode': 'exit', 'after_ms': 20},
        ]
        self.fail_next = 0
        self.fail_share: dict[str, float] = {}
        self.restart_ms = 200
        self._fencing_by_model: dict[str, int] = {}
        self._load_history: collections.deque[tuple[int, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_LOAD_HISTORY)
        )
        self._tasks: set[asyncio.Task] = set()

    def load(self) -> dict[str, Any]:
        """Returns the load as it is now; for subclasses."""
        raise NotImplementedError

    def forget(self) -> None:
        """Drops what a crash loses; for subclasses."""

    def cancel(self, run_id: str) -> int:
        """Cancels runs by request or attempt id; for subclasses."""
        return 0

    async def handle_own(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        """Answers what only the subclass knows."""
        raise NotImplementedError

    async def started(self) -> None:
        self.note_load()

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        await super().control(fields)
        for name in (
            'versions',
            'fail_next',
            'fail_share',
            'poison',
            'restart_ms',
            'load_lag_ms',
            'honours_fencing',
        ):
            if name in fields:
                setattr(self, name, fields[name])
        self.qualities_by_version.update(fields.get('quality', {}))
        if 'crash' in fields:
            self.crash(fields['crash'])
        self.note_load()
        return {'incarnation': self.incarnation}

    def records(self) -> dict[str, Any]:
        return {
            'incarnation': self.incarnation,
            'versions': self.versions,
            'runs': self.runs,
            'orders': self.orders,
            'crashes': self.crashes,
        }

    async def handle(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        if request.path == '/v1/load':
            return self._load_report()
        if (request.method, request.path) == ('POST', '/v1/orders'):
            return await self._order(request)
        if (request.method, request.path) == ('POST', '/v1/cancel'):
            run_id = msgspec.json.decode(request.body)['id']
            return http.json_response(200, {'cancelled': self.cancel(run_id)})
        return await self.handle_own(request)

    def quality_of(self, version: str) -> float:
        """Returns the quality of a version, in 0..1."""
        return self.qualities_by_version.get(version, self.default_quality)

    def fails(self, version: str, prompt: str) -> bool:
        """Returns whether this run is to end in an error 500."""
        if self.fail_next > 0:
            self.fail_next -= 1
            return True
        share = self.fail_share.get(version, 0.0)
        return answers.hash_share('fail', version, prompt) < share

    def begin_record(
        self, request: http.Request, version: str
    ) -> dict[str, Any]:
        """Records that a run begins; end_ms is None until it ends."""
        headers = request.headers
        record = {
            'request_id': headers.get('x-request-id', ''),
            'attempt_id': headers.get('x-attempt-id', ''),
            'idempotency_key': headers.get('x-idempotency-key', ''),
            'organisation': headers.get('x-organisation', ''),
            'priority': headers.get('x-priority', 'interactive'),
            'version': version,
            'method': request.method,
            'path': request.path,
            'incarnation': self.incarnation,
            'begin_ms': serving.now_ms(),
            'end_ms': None,
            'outcome': 'running',
        }
        self.runs.append(record)
        self.write_record('begin', record)
        return record

    def end_record(self, record: dict[str, Any], outcome: str) -> None:
        """Records how a run ended, once."""
        if record['end_ms'] is not None:
            return
        record['end_ms'] = serving.now_ms()
        record['outcome'] = outcome
        self.write_record('end', record)
        self.note_load()

    def note_load(self) -> None:
        """Keeps the load as it is now for later reports."""
        load = {**self.load(), 'versions': list(self.versions)}
        self._load_history.append((serving.now_ms(), load))

    def poison_in(self, body: bytes) -> dict[str, Any] | None:
        """Returns the poison whose marker the body holds, if any."""
        for poison in self.poison:
            if poison['marker'].encode() in body:
                return poison
        return None

    async def strike(self, record: dict[str, Any], body: bytes) -> bool:
        """Crashes the server if the body holds a poison marker.

        Args:
          record: The run.
          body: The request's body.
        Returns: Whether the body holds one.
        """
        poison = self.poison_in(body)
        if poison is None:
            return False
        await asyncio.sleep(poison.get('after_ms', 0) / 1000)
        if record['end_ms'] is None:
            self.crash(poison.get('mode', 'restart'), record)
        return True

    def crash(self, mode: str, cause: dict[str, Any] | None = None) -> None:
        """Loses every run and connection.

        Args:
          mode: 'restart' (a new incarnation follows) or 'exit'.
          cause: The run that caused it.
        """
        running = [run for run in self.runs if run['end_ms'] is None]
        for run in running:
            self.end_record(run, 'crashed')
        crash = {
            'at_ms': serving.now_ms(),
            'incarnation': self.incarnation,
            'mode': mode,
            'cause': cause['request_id'] if cause else '',
            'running': [run['request_id'] for run in running],
        }
        self.crashes.append(crash)
        self.write_record('crash', crash)
        if mode == 'exit':
            os._exit(CRASH_STATUS)
        self.forget()
        self.incarnation = uuid.uuid4().hex
        self._load_history.clear()
        self.note_load()
        if self.restart_ms:
            self.server.refuse()
        self.server.reset_all()
        self.spawn(self._come_back())

    def spawn(self, coroutine: Any) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.restart_ms / 1000)
        await self.server.listen_again()

    def _load_report(self) -> http.Response:
        seen_ms = serving.now_ms() - self.load_lag_ms
        history = self._load_history
        while len(history) > 1 and history[1][0] <= seen_ms:
            history.popleft()
        at_ms = max(seen_ms, history[0][0])
        return http.json_response(
            200,
            {
                **history[0][1],
                'incarnation': self.incarnation,
                'at_ms': at_ms,
            },
        )

    async def _order(self, request: http.Request) -> http.Response:
        order = msgspec.json.decode(request.body)
        version = order['version']
        fencing = int(order.get('fencing', 0))
        model = version.partition('@')[0]
        highest = self._fencing_by_model.get(model, 0)
        accepted = fencing >= highest or not self.honours_fencing
        fields = {
            'at_ms': serving.now_ms(),
            'action': order['action'],
            'version': version,
            'fencing': fencing,
            'highest': highest,
            'accepted': accepted,
        }
        self.orders.append(fields)
        self.write_record('order', fields)
        if not accepted:
            return http.json_response(409, {'fencing': highest})
        self._fencing_by_model[model] = max(highest, fencing)
        self._apply_order(order['action'], version)
        return http.json_response(200, {'fencing': max(highest, fencing)})

    def _apply_order(self, action: str, version: str) -> None:
        if action == 'load' and version not in self.versions:
            self.spawn(self._load_version(version))
        if action == 'unload' and version in self.versions:
            self.versions.remove(version)
            self.note_load()

    async def _load_version(self, version: str) -> None:
        if self.weights_address:
            await asyncio.to_thread(self._fetch_weights, version)
        else:
            await asyncio.sleep(self.load_ms / 1000)
        if version not in self.versions:
            self.versions.append(version)
        self.note_load()

    def _fetch_weights(self, version: str) -> None:
        url = f'http://{self.weights_address}/v1/weights/{version}'
        with urllib.request.urlopen(url, timeout=60) as answer:  # noqa: S310
            while answer.read(65536):
                pass
