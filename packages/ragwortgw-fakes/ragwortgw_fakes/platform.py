"""Stand-in for the platform service: key-value store and host list."""

import asyncio
import base64
import collections
from typing import Any

import msgspec

from ragwortgw_fakes import http
from ragwortgw_fakes import rates
from ragwortgw_fakes import serving
from ragwortgw_fakes import store

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_MS = 60_000
VALUES_PATH = '/v1/values'
WATCH_PATH = '/v1/watch/'
LEASES_PATH = '/v1/leases/'
EPOCH_HEADER = 'Store-Epoch'


def value_document(item: store.Item) -> dict[str, Any]:
    """Returns a stored value as the service shows it."""
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
    }


class PlatformFake(serving.Fake):
    """The service; control fields beside those of all stand-ins:

    lose_answer: The next N writes take effect, then the answer is lost.
    lose_prefix: Only writes whose key starts so lose their answer.
    lose_mode: What comes instead: 'drop' (the connection is reset), '500'
      or 'garbage' (a 200 that holds no JSON).
    lapse: Name of a lease that lapses now.
    restore: Goes back to the state of so many ms ago.
    writes_per_s, reads_per_s: Rates above which 429 comes; 0 is no limit.
    slow_answer_ms: Time between a write's effect and its answer.
    hosts: The host list, or {'hosts': [...], 'lag_ms': n}.
    lag_ms: Time until a changed host list is seen.
    """

    cancel_on_disconnect = False

    def __init__(self, records_path: str = '') -> None:
        super().__init__(records_path)
        self.store = store.Store()
        self.lose_answer = 0
        self.lose_prefix = ''
        self.lose_mode = 'drop'
        self.slow_answer_ms = 0
        self.lag_ms = 0
        self.writes = rates.TokenBucket(0)
        self.reads = rates.TokenBucket(0)
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.writes_log: list[dict[str, Any]] = []
        self._host_lists: list[tuple[int, list[dict[str, Any]]]] = [(0, [])]
        self._lapse_task: asyncio.Task | None = None

    async def started(self) -> None:
        self._lapse_task = asyncio.create_task(self._lapse_leases())

    async def close(self) -> None:
        if self._lapse_task is not None:
            self._lapse_task.cancel()
        await super().close()

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        await super().control(fields)
        for name in (
            'lose_answer',
            'lose_prefix',
            'lose_mode',
            'slow_answer_ms',
            'lag_ms',
        ):
            if name in fields:
                setattr(self, name, fields[name])
        if 'writes_per_s' in fields:
            self.writes = rates.TokenBucket(fields['writes_per_s'])
        if 'reads_per_s' in fields:
            self.reads = rates.TokenBucket(fields['reads_per_s'])
        if 'lapse' in fields:
            self.store.revoke(fields['lapse'])
        if 'restore' in fields:
            self.store.restore(fields['restore'])
        if 'hosts' in fields:
            self._set_hosts(fields['hosts'])
        return {'revision': self.store.revision}

    def records(self) -> dict[str, Any]:
        return {
            'calls': dict(self.calls_by_kind),
            'writes': self.writes_log,
            'revision': self.store.revision,
            'epoch': self.store.epoch,
            'waiting_watches': self.store.waiting(),
            'leases': self.store.lease_deadlines(),
        }

    async def handle(self, request: http.Request) -> http.Response:
        kind, handler = self._route(request)
        if handler is None:
            return http.error_response(404, 'unknown-path')
        self.calls_by_kind[kind] += 1
        is_write = kind in ('put', 'delete', 'grant', 'revoke')
        bucket = self.writes if is_write else self.reads
        if not bucket.take():
            self.calls_by_kind['limited'] += 1
            return http.error_response(429, 'rate-limited')
        answer = await handler(request)
        epoch = (EPOCH_HEADER, str(self.store.epoch))
        answer = answer._replace(headers=(*answer.headers, epoch))
        if is_write and answer.status == 200:
            return await self._after_write(request, answer)
        return answer

    def _route(self, request: http.Request) -> tuple[str, Any]:
        path, method = request.path, request.method
        if path == VALUES_PATH and method == 'GET':
            return 'list', self._list
        if path == '/v1/hosts' and method == 'GET':
            return 'hosts', self._hosts
        if path.startswith(WATCH_PATH) and method == 'GET':
            return 'watch', self._watch
        if path.startswith(VALUES_PATH + '/'):
            handlers = {
                'GET': ('get', self._get),
                'PUT': ('put', self._put),
                'DELETE': ('delete', self._delete),
            }
            return handlers.get(method, ('', None))
        if path.startswith(LEASES_PATH):
            leases = {
                'PUT': ('grant', self._grant),
                'DELETE': ('revoke', self._revoke),
            }
            return leases.get(method, ('', None))
        return '', None

    async def _after_write(
        self, request: http.Request, answer: http.Response
    ) -> http.Response:
        key = request.path.removeprefix(VALUES_PATH + '/')
        if self.slow_answer_ms:
            await asyncio.sleep(self.slow_answer_ms / 1000)
        if self.lose_answer > 0 and key.startswith(self.lose_prefix):
            self.lose_answer -= 1
            self.calls_by_kind['lost'] += 1
            return self._lost_answer()
        return answer

    def _lost_answer(self) -> http.Response:
        if self.lose_mode == '500':
            return http.error_response(500, 'internal')
        if self.lose_mode == 'garbage':
            return http.Response(200, b'<html>')
        raise http.Drop

    def _log_write(self, kind: str, key: str, revision: int) -> None:
        fields = {
            'kind': kind,
            'key': key,
            'revision': revision,
            'at_ms': serving.now_ms(),
        }
        self.writes_log.append(fields)
        self.write_record('write', {**fields, 'call': kind})

    def _read(self, key: str) -> http.Response:
        item = self.store.get(key)
        if item is None:
            return http.json_response(
                404, {'key': key, 'revision': self.store.revision}
            )
        return http.json_response(200, value_document(item))

    async def _get(self, request: http.Request) -> http.Response:
        return self._read(request.path.removeprefix(VALUES_PATH + '/'))

    async def _list(self, request: http.Request) -> http.Response:
        items = self.store.list(request.query.get('prefix', ''))
        return http.json_response(
            200,
            {
                'values': [value_document(item) for item in items],
                'revision': self.store.revision,
            },
        )

    async def _put(self, request: http.Request) -> http.Response:
        key = request.path.removeprefix(VALUES_PATH + '/')
        document = msgspec.json.decode(request.body)
        value = base64.b64decode(document['value'])
        if len(value) > MAX_VALUE_BYTES:
            return http.error_response(413, 'value-too-large')
        if not self._is_present(
            document['revision'], document.get('epoch', 0)
        ):
            return self._conflict(key)
        lease = document.get('lease', '')
        if lease and not self.store.has_lease(lease):
            return self._conflict(key, lease_lapsed=True)
        revision = self.store.put(key, value, document['revision'], lease)
        if revision is None:
            return self._conflict(key)
        self._log_write('put', key, revision)
        return http.json_response(200, {'key': key, 'revision': revision})

    async def _delete(self, request: http.Request) -> http.Response:
        key = request.path.removeprefix(VALUES_PATH + '/')
        expected = int(request.query.get('revision', '0'))
        if not self._is_present(
            expected, int(request.query.get('epoch', '0'))
        ):
            return self._conflict(key)
        revision = self.store.delete(key, expected)
        if revision is None:
            return self._conflict(key)
        self._log_write('delete', key, revision)
        return http.json_response(200, {'key': key, 'revision': revision})

    def _is_present(self, revision: int, epoch: int) -> bool:
        """Returns whether a revision is one of the present epoch."""
        return not revision or epoch == self.store.epoch

    def _conflict(self, key: str, lease_lapsed: bool = False) -> http.Response:
        self.calls_by_kind['conflict'] += 1
        item = self.store.get(key) or store.Item(key, b'', 0, '')
        document = value_document(item)
        if lease_lapsed:
            document['lease_lapsed'] = True
        return http.json_response(409, document)

    async def _watch(self, request: http.Request) -> http.Response:
        key = request.path.removeprefix(WATCH_PATH)
        revision = int(request.query.get('revision', '0'))
        wait_ms = min(int(request.query.get('wait_ms', '0')), MAX_WATCH_MS)
        epoch = int(request.query.get('epoch', '0'))
        if not self._is_present(revision, epoch):
            return self._read(key)
        changed = await self.store.wait(key, revision, wait_ms / 1000)
        if not changed:
            return http.json_response(
                404,
                {
                    'key': key,
                    'revision': self.store.revision,
                    'unchanged': True,
                },
            )
        return self._read(key)

    async def _grant(self, request: http.Request) -> http.Response:
        lease = request.path.removeprefix(LEASES_PATH)
        ttl_ms = int(msgspec.json.decode(request.body)['ttl_ms'])
        self.store.grant(lease, serving.now_ms() + ttl_ms)
        self._log_write('grant', lease, self.store.revision)
        return http.json_response(200, {'ttl_ms': ttl_ms})

    async def _revoke(self, request: http.Request) -> http.Response:
        lease = request.path.removeprefix(LEASES_PATH)
        self.store.revoke(lease)
        self._log_write('revoke', lease, self.store.revision)
        return http.json_response(200, {})

    async def _hosts(self, request: http.Request) -> http.Response:
        now = serving.now_ms()
        while len(self._host_lists) > 1 and self._host_lists[1][0] <= now:
            self._host_lists.pop(0)
        return http.json_response(200, {'hosts': self._host_lists[0][1]})

    def _set_hosts(self, document: Any) -> None:
        hosts = document
        if isinstance(document, dict):
            hosts = document['hosts']
            self.lag_ms = document.get('lag_ms', self.lag_ms)
        visible_at_ms = serving.now_ms() + self.lag_ms
        self._host_lists.append((visible_at_ms, hosts))

    async def _lapse_leases(self) -> None:
        while True:
            self.store.lapse(serving.now_ms())
            await asyncio.sleep(store.LAPSE_INTERVAL_S)


def main(*, port: int = 0, records: str = '') -> None:
    """Serves the key-value store and the host list.

    Args:
      port: TCP port; 0 takes a free one.
      records: File to which each write is appended as a JSON line.
    """
    serving.run(PlatformFake(records), port)
