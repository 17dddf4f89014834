"""Sequential test of a roll-out's candidate, pooled over all entries.

Each entry collects evidence on the roll-outs in progress and adds it, in
numbered batches, to a pool in the platform service. A verdict is reached by
testing the pooled wealth processes of the betting module against thresholds
from Ville's inequality.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Literal, NamedTuple

from ragwortgw_core import betting
from ragwortgw_core import documents
from ragwortgw_core import version_regression

Verdict = Literal['bad', 'good', 'undecided', 'suspect']

#: Error bounds: for withdrawing a candidate that is no worse, and for passing
#: one that is worse than the margin.
FALSE_ALARM_ALPHA = 0.01
FALSE_PASS_ALPHA = 0.05
#: Largest expected loss of score by a step, averaged over all requests.
MAX_SCORE_LOSS_PER_REQUEST = 0.02
ALL_BASIS_POINTS = 10_000
#: Candidate requests in a step before it can end with a good verdict.
MIN_STEP_REQUESTS = 30
#: Non-inferiority margin for the evidence of the last step alone.
LAST_STEP_MARGIN = 0.05
#: Log wealth against a candidate from which its share no longer grows.
SUSPICION_LOG_WEALTH = 0.0
#: Weight of all evidence since the start. The rest of the weight goes to the
#: evidence since each later step, to detect a version that turned bad later.
FIRST_STEP_WEIGHT = 0.6


class Batch(NamedTuple):
    """Evidence that one entry adds to the pool.

    Args:
      number: Sequence number among the entry's batches.
      sums_by_step: Evidence by the fencing number of the roll-out, which
        rises with each step.
    """

    number: int
    sums_by_step: dict[int, betting.Sums]


class Pool(NamedTuple):
    """Evidence of all entries on one roll-out; stored as one value.

    Args:
      track: Identifies the compared versions, see track_name(). Evidence of
        another track is discarded.
      sums_by_step: Evidence by fencing number, which rises with each step.
      numbers_by_entry: Number of the last batch counted, by entry id.
    """

    track: str
    sums_by_step: dict[int, betting.Sums]
    numbers_by_entry: dict[str, int]


def add_batch(
    pool: Pool | None,
    rollout: documents.Rollout,
    entry_id: str,
    batch: Batch,
) -> Pool:
    """Adds a batch to a pool unless the pool already counts it.

    Args:
      pool: The stored pool; None if there is none.
      rollout: The roll-out.
      entry_id: Id of the entry's incarnation.
      batch: The batch of that entry.
    Returns: The pool to write by compare-and-swap.
    """
    track = track_name(rollout)
    if pool is None or pool.track != track:
        pool = Pool(track, {}, {})
    if pool.numbers_by_entry.get(entry_id, 0) >= batch.number:
        return pool
    return Pool(
        track,
        _add_by_step(pool.sums_by_step, batch.sums_by_step),
        {**pool.numbers_by_entry, entry_id: batch.number},
    )


def evaluate(
    sums_by_step: Mapping[int, betting.Sums],
    rollout: documents.Rollout,
    rated: bool = True,
) -> Verdict:
    """Evaluates the sequential test on pooled evidence.

    Args:
      sums_by_step: The evidence by step.
      rollout: The roll-out.
      rated: Whether responses of the model are rated; if so, a good
        verdict requires ratings.
    Returns: 'bad' if the candidate is worse than its baseline, 'good' if
      it is shown to be non-inferior enough for its next share, otherwise
      'undecided'.
    """
    steps = sorted(sums_by_step)
    if not steps:
        return 'undecided'
    sums_since_step: list[betting.Sums] = []
    total = betting.Sums()
    for step in reversed(steps):
        total = betting.add(total, sums_by_step[step])
        sums_since_step.append(total)
    sums_since_step.reverse()
    weights = [FIRST_STEP_WEIGHT] + [
        (1 - FIRST_STEP_WEIGHT) / (index * (index + 1))
        for index in range(1, len(steps))
    ]
    bad_threshold = math.log(len(betting.INFERIORITY_ROWS) / FALSE_ALARM_ALPHA)
    suspected = False
    for row in betting.INFERIORITY_ROWS:
        logs = [betting.log_mean_wealth(sums, row) for sums in sums_since_step]
        wealth = betting.log_mean_exp(logs, weights)
        if wealth >= bad_threshold:
            return 'bad'
        suspected = suspected or wealth >= SUSPICION_LOG_WEALTH
    if suspected:
        return 'undecided'
    step_sums = sums_by_step.get(rollout['fencing'], betting.Sums())
    if step_sums.candidate_requests < MIN_STEP_REQUESTS:
        return 'undecided'
    first_rows = [betting.FAILURE_NONINFERIORITY_ROW]
    if rated:
        first_rows.append(betting.SCORE_NONINFERIORITY_ROW)
    margin = (
        MAX_SCORE_LOSS_PER_REQUEST * ALL_BASIS_POINTS / next_share(rollout)
    )
    passed = all(
        _is_noninferior(sums_since_step[0], margin, row) for row in first_rows
    )
    if passed and rollout['next_step'] >= len(rollout['plan']):
        passed = all(
            _is_noninferior(step_sums, LAST_STEP_MARGIN, row)
            for row in first_rows
        )
    return 'good' if passed else 'undecided'


def _is_noninferior(sums: betting.Sums, margin: float, first_row: int) -> bool:
    """Returns whether the candidate is shown to be worse by no more.

    Args:
      sums: The evidence.
      margin: The non-inferiority margin; the smallest that is tested
        applies if it is less.
      first_row: First of the rows that test the margins.
    """
    margin = max(margin, betting.NONINFERIORITY_MARGINS[-1])
    threshold = math.log(1 / FALSE_PASS_ALPHA)
    rows = enumerate(betting.NONINFERIORITY_MARGINS, start=first_row)
    return any(
        betting.log_mean_wealth(sums, row) >= threshold
        for row, difference in rows
        if difference <= margin
    )


class _Track:
    """Evidence of this entry on the compared versions of one roll-out."""

    def __init__(self, rollout: documents.Rollout) -> None:
        self.name = track_name(rollout)
        self.candidate = rollout['candidate']
        self.baseline = rollout['baseline']
        self.step = rollout['fencing']
        self.wealth = betting.WealthProcesses()
        self.pool = Pool(self.name, {}, {})
        self.pending: Batch | None = None
        self.number = 0
        self.regression_detector = version_regression.RegressionDetector()
        self._finished_steps: dict[int, betting.Sums] = {}

    def start_step(self, step: int) -> None:
        """Assigns the evidence so far to the step that ends."""
        if step != self.step:
            self._finished_steps = self.unbatched()
            self.wealth.pop_sums()
            self.wealth.reset_shares()
            self.step = step

    def unbatched(self) -> dict[int, betting.Sums]:
        """Returns the evidence by step that is in no batch yet."""
        sums = self.wealth.current_sums()
        if sums == betting.Sums():
            return dict(self._finished_steps)
        return _add_by_step(self._finished_steps, {self.step: sums})

    def pop_unbatched(self) -> dict[int, betting.Sums]:
        unbatched = self.unbatched()
        self.wealth.pop_sums()
        self._finished_steps = {}
        return unbatched


class VersionEvidence:
    """Evidence of this entry and of the pool on each followed roll-out.

    Args:
      entry_id: Id of this entry's incarnation in the pool.
    """

    def __init__(self, entry_id: str = '') -> None:
        self._entry_id = entry_id
        self._tracks_by_model: dict[str, _Track] = {}

    def follow(self, rollout: documents.Rollout) -> None:
        """Starts or continues to collect evidence on a roll-out.

        Evidence on other versions of the model is discarded.

        Args:
          rollout: The roll-out in the current configuration.
        """
        self._track(rollout)

    def observe(
        self,
        model: str,
        version: str,
        score: float | None,
        failed: bool,
        now_ms: int,
    ) -> None:
        """Adds the outcome of one request.

        Args:
          model: Id of the model.
          version: Id of the version that served it.
          score: Rating in 0..1; None if it is missing.
          failed: Whether the version failed to answer.
          now_ms: Unix ms.
        """
        track = self._tracks_by_model.get(model)
        if track is None or version not in (track.candidate, track.baseline):
            return
        track.wealth.observe(version == track.candidate, score, failed)

    def rated(
        self, model: str, version: str, score: float, now_ms: int
    ) -> None:
        """Adds the rating of a request that was observed without one.

        Args:
          model: Id of the model.
          version: Id of the version that served it.
          score: The rating in 0..1.
          now_ms: Unix ms.
        """
        track = self._tracks_by_model.get(model)
        if track is None or version not in (track.candidate, track.baseline):
            return
        track.wealth.rate(version == track.candidate, score)

    def verdict(
        self, rollout: documents.Rollout, rated: bool = True
    ) -> Verdict:
        """Evaluates the candidate on the evidence of all entries.

        Args:
          rollout: The roll-out in the current configuration.
          rated: False for a plain service, whose answers are not rated.
        Returns: 'bad'; 'good' if the next step may be taken; 'undecided';
          for a done roll-out also 'suspect' if the candidate became worse
          than it was before.
        """
        pooled = self.pooled_sums(rollout)
        verdict = evaluate(pooled, rollout, rated)
        if rollout['state'] != 'done' or verdict == 'bad':
            return verdict
        total = betting.Sums()
        for sums in pooled.values():
            total = betting.add(total, sums)
        suspected = self._track(
            rollout
        ).regression_detector.detects_regression(total)
        return 'suspect' if suspected else 'undecided'

    def pooled_sums(
        self, rollout: documents.Rollout
    ) -> dict[int, betting.Sums]:
        """Returns the pool plus the evidence not yet in it, by step."""
        track = self._track(rollout)
        total = _add_by_step(track.pool.sums_by_step, track.unbatched())
        if track.pending is not None:
            total = _add_by_step(total, track.pending.sums_by_step)
        return total

    def next_batch(self, rollout: documents.Rollout) -> Batch | None:
        """Returns the next batch to add to the pool.

        Returns the same batch until apply_pool() gets a pool that counts it,
        so that a write can be retried if its result is unknown.

        Args:
          rollout: The roll-out in the current configuration.
        Returns: The batch; None if there is no new evidence.
        """
        track = self._track(rollout)
        if track.pending is None:
            unbatched = track.pop_unbatched()
            if not unbatched:
                return None
            track.number += 1
            track.pending = Batch(track.number, unbatched)
        return track.pending

    def apply_pool(self, rollout: documents.Rollout, pool: Pool) -> None:
        """Replaces the known pool by the value read or written.

        Args:
          rollout: The roll-out in the current configuration.
          pool: The pool; ignored if it is of another track.
        """
        track = self._track(rollout)
        if pool.track != track.name:
            return
        track.pool = pool
        counted = pool.numbers_by_entry.get(self._entry_id, 0)
        if track.pending is not None and counted >= track.pending.number:
            track.pending = None

    def _track(self, rollout: documents.Rollout) -> _Track:
        track = self._tracks_by_model.get(rollout['id'])
        if track is None or track.name != track_name(rollout):
            track = _Track(rollout)
            self._tracks_by_model[rollout['id']] = track
        track.start_step(rollout['fencing'])
        return track


def track_name(rollout: documents.Rollout) -> str:
    """Identifies a roll-out's compared versions and the layout of sums."""
    versions = f'{rollout["candidate"]}:{rollout["baseline"]}'
    return f'{versions}:{betting.SIZE}'


def next_share(rollout: documents.Rollout) -> int:
    """Returns the candidate's next share, in basis points."""
    plan: Sequence[int] = rollout['plan']
    if rollout['next_step'] < len(plan):
        return max(plan[rollout['next_step']], 1)
    return ALL_BASIS_POINTS


def _add_by_step(
    left: Mapping[int, betting.Sums], right: Mapping[int, betting.Sums]
) -> dict[int, betting.Sums]:
    total = dict(left)
    for step, sums in right.items():
        total[step] = betting.add(total.get(step, betting.Sums()), sums)
    return total
