"""Stand-in for the rate-limited weight store."""

import asyncio
import collections
from collections.abc import AsyncGenerator
from typing import Any

from ragwortgw_fakes import http
from ragwortgw_fakes import rates
from ragwortgw_fakes import serving

PIECE_BYTES = 64 * 1024
WEIGHTS_PATH = '/v1/weights/'


class WeightsFake(serving.Fake):
    """The store; control fields beside those of all stand-ins:

    bytes_per_s: Rate that all downloads share.
    size_bytes: Size of a version's weights.
    """

    def __init__(self, size_bytes: int, bytes_per_s: float) -> None:
        super().__init__()
        self.size_bytes = size_bytes
        self.rate = rates.TokenBucket(bytes_per_s)
        self.fetches_by_version: collections.Counter[str] = (
            collections.Counter()
        )

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        await super().control(fields)
        self.size_bytes = fields.get('size_bytes', self.size_bytes)
        if 'bytes_per_s' in fields:
            self.rate = rates.TokenBucket(fields['bytes_per_s'])
        return {}

    def records(self) -> dict[str, Any]:
        return {'fetches': dict(self.fetches_by_version)}

    async def handle(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        path = request.path
        if request.method != 'GET' or not path.startswith(WEIGHTS_PATH):
            return http.error_response(404, 'unknown-path')
        self.fetches_by_version[path.removeprefix(WEIGHTS_PATH)] += 1
        return http.StreamResponse(
            200, self._pieces(), 'application/octet-stream'
        )

    async def _pieces(self) -> AsyncGenerator[bytes, None]:
        left = self.size_bytes
        while left > 0:
            size = min(left, PIECE_BYTES)
            await asyncio.sleep(self.rate.wait_s(size))
            yield bytes(size)
            left -= size


def main(
    *,
    port: int = 0,
    size_bytes: int = 4_000_000,
    bytes_per_s: float = 10_000_000.0,
) -> None:
    """Serves weights by version.

    Args:
      port: TCP port; 0 takes a free one.
      size_bytes: Size of a version's weights.
      bytes_per_s: Rate that all downloads share.
    """
    serving.run(WeightsFake(size_bytes, bytes_per_s), port)
