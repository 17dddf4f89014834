"""Stand-in for the rating service."""

import asyncio
import collections
import math
from typing import Any

import msgspec

from ragwortgw_fakes import answers
from ragwortgw_fakes import http
from ragwortgw_fakes import serving

STEEPNESS = 12.0
NOISE_SPREAD = 0.1


def true_score(quality: float, difficulty: float) -> float:
    """Returns how good an answer is, in 0..1, without noise.

    Args:
      quality: Quality of the version, in 0..1.
      difficulty: Difficulty of the request, in 0..1.
    Returns: Near 1 while the quality is above the difficulty; 0.5 where
      they are equal.
    """
    return 1 / (1 + math.exp(-STEEPNESS * (quality - difficulty)))


def noisy_score(quality: float, prompt: str, version: str) -> float:
    """Returns the score that the rater gives, in 0..1."""
    noise = answers.hash_share('noise', version, prompt) - 0.5
    score = true_score(quality, answers.difficulty(prompt))
    return min(1.0, max(0.0, score + NOISE_SPREAD * noise))


class RaterFake(serving.Fake):
    """The rater; control fields beside those of all stand-ins:

    quality: Quality by version id, before the marker in the answer.
    drift: Change of quality by version id, on top.
    delay_ms: Time until a rating is answered.
    missing_share: Share of ratings that never come (404).
    """

    def __init__(self, records_path: str = '') -> None:
        super().__init__(records_path)
        self.qualities_by_version: dict[str, float] = {}
        self.drifts_by_version: dict[str, float] = {}
        self.delay_ms = 0
        self.missing_share = 0.0
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.sums_by_version: dict[str, float] = collections.defaultdict(float)
        self.counts_by_version: collections.Counter[str] = (
            collections.Counter()
        )

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        await super().control(fields)
        self.qualities_by_version.update(fields.get('quality', {}))
        self.drifts_by_version.update(fields.get('drift', {}))
        self.delay_ms = fields.get('delay_ms', self.delay_ms)
        self.missing_share = fields.get('missing_share', self.missing_share)
        return {}

    def records(self) -> dict[str, Any]:
        means = {
            version: self.sums_by_version[version] / count
            for version, count in self.counts_by_version.items()
        }
        return {
            'calls': dict(self.calls_by_kind),
            'counts': dict(self.counts_by_version),
            'means': means,
        }

    async def handle(self, request: http.Request) -> http.Response:
        if (request.method, request.path) != ('POST', '/v1/ratings'):
            return http.error_response(404, 'unknown-path')
        fields = msgspec.json.decode(request.body)
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self._is_missing(fields):
            self.calls_by_kind['missing'] += 1
            return http.error_response(404, 'no-rating')
        score = self._score(fields)
        version = fields['version']
        self.calls_by_kind['rated'] += 1
        self.counts_by_version[version] += 1
        self.sums_by_version[version] += score
        return http.json_response(200, {'score': round(score, 4)})

    def _is_missing(self, fields: dict[str, Any]) -> bool:
        share = answers.hash_share(
            'missing', fields['version'], fields['prompt']
        )
        return share < self.missing_share

    def _score(self, fields: dict[str, Any]) -> float:
        version = fields['version']
        quality = self.qualities_by_version.get(version)
        if quality is None:
            quality = answers.read_quality(fields['answer'])
        if quality is None:
            return 0.0
        quality += self.drifts_by_version.get(version, 0.0)
        return noisy_score(quality, fields['prompt'], version)


def main(
    *,
    port: int = 0,
    delay_ms: int = 0,
    missing_share: float = 0.0,
) -> None:
    """Serves ratings of answers.

    Args:
      port: TCP port; 0 takes a free one.
      delay_ms: Time until a rating is answered.
      missing_share: Share of ratings that never come.
    """
    fake = RaterFake()
    fake.delay_ms = delay_ms
    fake.missing_share = missing_share
    serving.run(fake, port)
