"""Digests and notes between gateways, by datagram; beliefs, by HTTP."""

import asyncio
import collections
from collections.abc import Callable
import logging
from typing import Any
import urllib.parse
import zlib

import msgspec
from returns.result import Success

from ragwortgw_core import addresses
from ragwortgw_core import decoding
from ragwortgw_core import errors
from ragwortgw_gateway import digests
from ragwortgw_gateway import events
from ragwortgw_gateway import gossip
from ragwortgw_server import clock
from ragwortgw_server import http_client
from ragwortgw_server import http_exchange

LOG = logging.getLogger(__name__)

BELIEFS_PATH = '/v1/beliefs'
CONTENT_TYPE = 'application/msgpack'
#: A configuration of a thousand routes is sent in a tenth of its size.
COMPRESSION_LEVEL = 1
#: Largest beliefs that are taken, once they are unpacked.
MAX_BELIEFS_BYTES = 16 * 1024 * 1024
MAX_DATAGRAM_BYTES = 60_000
#: What the messages are for, in the metrics.
PURPOSES_BY_MESSAGE: dict[type, str] = {
    digests.Digest: 'digest',
    digests.Note: 'note',
    digests.CrashReport: 'report',
    digests.BlockReport: 'report',
    digests.LimitReport: 'report',
    digests.RefusalReport: 'report',
    digests.Probe: 'probe',
}


def _purpose(message: digests.Message) -> str:
    if isinstance(message, digests.Relayed):
        message = message.message
    return PURPOSES_BY_MESSAGE[type(message)]


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._on_data(data)


class GatewayPeers:
    """Speaks with the other gateways; a context manager.

    Args:
      client: HTTP client.
      beliefs: Returns what is held that is newer than a store revision.
      on_event: Takes DigestReceived, NoteReceived, CrashReportReceived,
        BeliefsOffered and FetchEnded.

    Attributes:
      transferred: Bytes of datagrams sent, and of views fetched, since this
        was cleared, by purpose and address.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        beliefs: Callable[[int], digests.StoreView],
        on_event: Callable[[Any], None],
    ) -> None:
        self._client = client
        self._beliefs = beliefs
        self._on_event = on_event
        self._transport: asyncio.DatagramTransport | None = None
        self.transferred: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        #: The last answer, by what it was an answer to: many ask alike.
        self._packed: tuple[tuple[int, int, int], bytes] | None = None

    def __enter__(self) -> 'GatewayPeers':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    async def listen(self, address: str) -> None:
        """Receives digests at 'ip:port'.

        Raises:
          OSError: The address can not be used.
        """
        host, _, port = address.rpartition(':')
        (
            transport,
            _,
        ) = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(self._on_data), (host, int(port))
        )
        self._transport = transport

    def close(self) -> None:
        """Stops receiving."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(
        self,
        receivers: tuple[str, ...],
        message: digests.Message,
    ) -> None:
        """Sends a datagram; what is lost, the next digest tells again."""
        if self._transport is None:
            return
        data = digests.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.warning('datagram of %d bytes is not sent', len(data))
            return
        purpose = _purpose(message)
        for address in receivers:
            parsed = addresses.parse(address)
            if parsed is None:
                LOG.warning('%.60s is no address of a gateway', address)
            else:
                self._transport.sendto(data, parsed)
                self.transferred[purpose, address] += len(data)

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Answers another gateway that asks for beliefs."""
        query = urllib.parse.parse_qs(exchange.query)
        since = query.get('since', [''])[0]
        if exchange.path != BELIEFS_PATH:
            exchange.refuse(errors.UnknownPath(exchange.path))
            return
        if not since.isdigit():
            exchange.refuse(errors.MalformedRequest('since'))
            return
        body = self._pack(int(since))
        headers = [
            ('Content-Type', CONTENT_TYPE),
            ('Content-Encoding', 'deflate'),
        ]
        exchange.respond(200, headers, body)

    def _pack(self, since: int) -> bytes:
        beliefs = self._beliefs(since)
        key = (since, beliefs.revision, beliefs.lapse_ms)
        if self._packed is None or self._packed[0] != key:
            data = msgspec.msgpack.encode(beliefs)
            self._packed = key, zlib.compress(data, COMPRESSION_LEVEL)
        return self._packed[1]

    async def fetch(self, address: str, revision: int) -> None:
        """Asks another gateway.

        BeliefsOffered follows if it answers, and FetchEnded at any rate.
        """
        beliefs = await self._fetch(address, revision)
        self._on_event(events.FetchEnded(address))
        if beliefs is not None:
            self._on_event(events.BeliefsOffered(beliefs))

    async def _fetch(
        self, address: str, revision: int
    ) -> digests.StoreView | None:
        result = await self._client.request(
            'GET',
            address,
            f'{BELIEFS_PATH}?since={revision}',
            {},
            b'',
            clock.now_ms() + gossip.FETCH_TIMEOUT_MS,
            repeatable=True,
        )
        if not isinstance(result, Success) or result.unwrap().status != 200:
            LOG.info('gateway at %s told nothing', address)
            return None
        self.transferred['view', address] += len(result.unwrap().body)
        try:
            data = zlib.decompressobj().decompress(
                result.unwrap().body, MAX_BELIEFS_BYTES
            )
            return decoding.from_msgpack(data, digests.StoreView)
        except (zlib.error, decoding.Undecodable):
            LOG.warning('gateway at %s sent no beliefs', address)
            return None

    def _on_data(self, data: bytes) -> None:
        message = digests.decode(data)
        if message is None:
            LOG.warning('datagram of %d bytes says nothing', len(data))
        else:
            self._on_event(events.received(message))
