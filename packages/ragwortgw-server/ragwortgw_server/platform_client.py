"""Client of the platform's key-value service.

The service names its epoch in each answer. Revisions contain it here, and
without it on the wire (`core.platform`).
"""

import base64
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any, NamedTuple
import urllib.parse

import msgspec
from returns.result import Success

from ragwortgw_core import decoding
from ragwortgw_core import platform
from ragwortgw_server import clock
from ragwortgw_server import http_client

#: Time on top of a watch's own within which its answer has to come.
WATCH_GRACE_MS = 2_000

#: Statuses of requests that certainly were not executed.
REFUSED_STATUSES = frozenset({400, 404, 405, 408, 413, 414, 429, 431, 503})
#: Statuses after which another address may serve the request.
ELSEWHERE_STATUSES = frozenset({503})

WRITES = (platform.Put, platform.Delete, platform.Grant, platform.Revoke)
#: Header of an answer with the number of times that the service was restored
#: from an older copy; 0 if it is missing.
EPOCH_HEADER = 'store-epoch'


class _Encoded(NamedTuple):
    method: str
    path: str
    body: bytes


class _Answer(NamedTuple):
    status: int
    document: dict[str, Any]
    sent_ms: int
    epoch: int

    def revision(self) -> int:
        """Returns the revision of the answer, with the epoch."""
        return platform.revision_in_epoch(
            self.epoch, int(self.document['revision'])
        )


class _Kind(NamedTuple):
    encode: Callable[[Any], _Encoded]
    decode: Callable[[Any, _Answer], platform.Result]
    statuses: frozenset[int]


_kinds_by_type: dict[type, _Kind] = {}


def _encodes(
    call_type: type, encode: Callable[[Any], _Encoded], *statuses: int
) -> Callable[[Callable], Callable]:
    """Registers how a call is encoded; decorates its decoder.

    Args:
      call_type: The NamedTuple class of the call.
      encode: Turns a call into a request.
      statuses: HTTP statuses that the decoder understands.
    Returns: The decorator.
    """

    def register(decode: Callable) -> Callable:
        _kinds_by_type[call_type] = _Kind(encode, decode, frozenset(statuses))
        return decode

    return register


def _value_path(key: str) -> str:
    return '/v1/values/' + urllib.parse.quote(key, safe='/_.@-')


def _lease_path(lease: str) -> str:
    return '/v1/leases/' + urllib.parse.quote(lease, safe='/_.@-')


def _encode_list(call: platform.List) -> _Encoded:
    prefix = urllib.parse.quote(call.prefix, safe='/_.@-')
    return _Encoded('GET', f'/v1/values?prefix={prefix}', b'')


def _encode_put(call: platform.Put) -> _Encoded:
    document = {
        'value': base64.b64encode(call.value).decode(),
        'revision': platform.number_of(call.revision),
        'epoch': platform.epoch_of(call.revision),
        'lease': call.lease,
    }
    return _Encoded(
        'PUT', _value_path(call.key), msgspec.json.encode(document)
    )


def _encode_delete(call: platform.Delete) -> _Encoded:
    path = f'{_value_path(call.key)}?{_base_query(call.revision)}'
    return _Encoded('DELETE', path, b'')


def _encode_watch(call: platform.Watch) -> _Encoded:
    key = urllib.parse.quote(call.key, safe='/_.@-')
    query = f'{_base_query(call.revision)}&wait_ms={call.wait_ms}'
    return _Encoded('GET', f'/v1/watch/{key}?{query}', b'')


def _base_query(revision: int) -> str:
    """Returns the query that names a revision and its epoch."""
    number = platform.number_of(revision)
    return f'revision={number}&epoch={platform.epoch_of(revision)}'


def _encode_grant(call: platform.Grant) -> _Encoded:
    body = msgspec.json.encode({'ttl_ms': call.ttl_ms})
    return _Encoded('PUT', _lease_path(call.lease), body)


def _found(document: dict[str, Any], epoch: int) -> platform.Found:
    return platform.Found(
        document['key'],
        base64.b64decode(document['value'], validate=True),
        platform.revision_in_epoch(epoch, int(document['revision'])),
    )


@_encodes(
    platform.Get, lambda c: _Encoded('GET', _value_path(c.key), b''), 200, 404
)
def _decode_get(call: platform.Get, answer: _Answer) -> platform.Result:
    if answer.status == 404:
        return platform.Absent(call.key, answer.revision())
    return _found(answer.document, answer.epoch)


@_encodes(platform.List, _encode_list, 200)
def _decode_list(call: platform.List, answer: _Answer) -> platform.Result:
    values = answer.document['values']
    found = tuple(_found(value, answer.epoch) for value in values)
    return platform.Listed(call.prefix, found)


@_encodes(platform.Put, _encode_put, 200, 409)
@_encodes(platform.Delete, _encode_delete, 200, 409)
def _decode_write(
    call: platform.Put | platform.Delete, answer: _Answer
) -> platform.Result:
    if answer.status == 409:
        return platform.Conflict(*_found(answer.document, answer.epoch))
    return platform.Written(call.key, answer.revision())


@_encodes(platform.Watch, _encode_watch, 200, 404)
def _decode_watch(call: platform.Watch, answer: _Answer) -> platform.Result:
    if answer.document.get('unchanged'):
        return platform.Absent(call.key, call.revision)
    if answer.status == 404:
        return platform.Absent(call.key, answer.revision())
    return _found(answer.document, answer.epoch)


@_encodes(platform.Grant, _encode_grant, 200)
def _decode_grant(call: platform.Grant, answer: _Answer) -> platform.Result:
    ttl_ms = min(call.ttl_ms, int(answer.document['ttl_ms']))
    return platform.Granted(call.lease, answer.sent_ms + ttl_ms)


@_encodes(
    platform.Revoke,
    lambda c: _Encoded('DELETE', _lease_path(c.lease), b''),
    200,
    404,
)
def _decode_revoke(call: platform.Revoke, answer: _Answer) -> platform.Result:
    return platform.Written(call.lease, 0)


@_encodes(platform.Hosts, lambda c: _Encoded('GET', '/v1/hosts', b''), 200)
def _decode_hosts(call: platform.Hosts, answer: _Answer) -> platform.Result:
    hosts = answer.document['hosts']
    return platform.HostList(
        tuple(
            platform.HostEntry(
                **{
                    name: str(host[name])
                    for name in platform.HostEntry._fields
                }
            )
            for host in hosts
        )
    )


class PlatformClient:
    """Calls the service at one of its addresses.

    Args:
      client: HTTP client, owned by the caller.
      addresses: 'ip:port' of each of the service's listeners; the one that
        answered last is tried first.
    """

    def __init__(
        self, client: http_client.HttpClient, addresses: Sequence[str]
    ) -> None:
        self._client = client
        self._addresses = list(addresses)

    async def call(
        self, call: platform.Call, deadline_ms: int
    ) -> platform.Result:
        """Makes one call.

        A write goes to another address only if it certainly was not
        executed at the former one; a read is tried once more at the first,
        since the connection that it took may have been silent.

        A Conflict that shows the expected revision says that the lease of
        the value has lapsed.

        Args:
          call: The call.
          deadline_ms: When to give up, Unix ms.
        Returns: The answer. Unavailable.maybe_done is False only if the
          call certainly had no effect.
        """
        addresses = list(self._addresses)
        if not isinstance(call, (*WRITES, platform.Watch)):
            addresses.append(addresses[0])
        for position, address in enumerate(addresses):
            left = len(addresses) - position
            outcome = await self._call_at(call, address, deadline_ms, left)
            if outcome is None:
                continue
            if not isinstance(outcome, platform.Unavailable):
                self._prefer(address)
            return outcome
        return platform.Unavailable(False)

    def _prefer(self, address: str) -> None:
        if self._addresses[0] != address:
            self._addresses.remove(address)
            self._addresses.insert(0, address)

    async def _call_at(
        self, call: platform.Call, address: str, deadline_ms: int, left: int
    ) -> platform.Result | None:
        """Calls one address; None means that the next may be tried."""
        kind = _kinds_by_type[type(call)]
        encoded = kind.encode(call)
        is_write = isinstance(call, WRITES)
        sent_ms = clock.now_ms()
        result = await self._client.request(
            encoded.method,
            address,
            encoded.path,
            {'Content-Type': 'application/json'} if encoded.body else {},
            encoded.body,
            _attempt_deadline_ms(call, sent_ms, deadline_ms, left),
            repeatable=not is_write,
        )
        if not isinstance(result, Success):
            if is_write and result.failure().sent:
                return platform.Unavailable(True)
            return None
        response = result.unwrap()
        if response.status in ELSEWHERE_STATUSES:
            return None
        return read(call, response, sent_ms)


def _attempt_deadline_ms(
    call: platform.Call, now_ms: int, deadline_ms: int, left: int
) -> int:
    if isinstance(call, platform.Watch):
        return min(deadline_ms, now_ms + call.wait_ms + WATCH_GRACE_MS)
    if isinstance(call, WRITES):
        return deadline_ms
    return now_ms + max(0, deadline_ms - now_ms) // left


def read(
    call: platform.Call, response: http_client.Response, sent_ms: int
) -> platform.Result:
    """Reads the answer to a call.

    Args:
      call: The call.
      response: What came.
      sent_ms: When the call was sent, Unix ms.
    Returns: The result; Unavailable if the answer makes no sense.
    """
    kind = _kinds_by_type[type(call)]
    is_write = isinstance(call, WRITES)
    if response.status not in kind.statuses:
        refused = response.status in REFUSED_STATUSES
        return platform.Unavailable(is_write and not refused)
    try:
        epoch = int(response.headers.get(EPOCH_HEADER, '0'))
        document = decoding.from_json(response.body, dict)
        return kind.decode(
            call, _Answer(response.status, document, sent_ms, epoch)
        )
    except (LookupError, TypeError, ValueError):
        return platform.Unavailable(is_write)


def open_platform_client(
    client: http_client.HttpClient, addresses: Sequence[str]
) -> PlatformClient:
    """Makes a client of the platform's service.

    Args:
      client: HTTP client, owned by the caller.
      addresses: 'ip:port' of each of the service's listeners.
    Returns: The client.
    """
    return PlatformClient(client, addresses)
