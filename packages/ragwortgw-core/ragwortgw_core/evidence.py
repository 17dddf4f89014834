"""Sequential test of a roll-out's candidate, pooled over entries."""

from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Literal, NamedTuple

from ragwortgw_core import betting
from ragwortgw_core import documents
from ragwortgw_core import version_regression

Verdict = Literal['bad', 'good', 'undecided', 'suspect']

#: Bounds for withdrawing a candidate that is no worse, and for letting one
#: pass that is worse than was allowed.
FALSE_ALARM_ALPHA = 0.01
FALSE_PASS_ALPHA = 0.05
#: Largest expected loss of score, per request of all, of a step's share.
MAX_SCORE_LOSS_PER_REQUEST = 0.02
ALL_BASIS_POINTS = 10_000
MIN_STEP_REQUESTS = 30
#: What the last step has to show by itself.
LAST_STEP_MARGIN = 0.05
#: Log wealth against a candidate from which its share does not grow.
SUSPICION_LOG_WEALTH = 0.0
#: Weight of the evidence since the start; the rest goes to that since
#: each later step, which finds a version that turned bad since.
FIRST_STEP_WEIGHT = 0.6


class Batch(NamedTuple):
    """Evidence that one entry adds to the pool, numbered per entry.

    sums_by_step tells what was seen by the fencing number of the roll-out,
    which every step raises.
    """

    number: int
    sums_by_step: dict[int, betting.Sums]


class Pool(NamedTuple):
    """Evidence of all entries on one roll-out, one platform value.

    Args:
      track: Names the versions compared; another track starts anew.
      sums_by_step: Evidence by fencing number, which every step raises.
      numbers_by_entry: Last batch counted, by entry id.
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
    """Adds a batch to the pool, once however often it is called.

    Args:
      pool: The value read; None where there is none.
      rollout: The roll-out.
      entry_id: Id of the entry, unique to this run of it.
      batch: Its batch.
    Returns: The value to write by compare-and-swap.
    """
    track = track_name(rollout)
    if pool is None or pool.track != track:
        pool = Pool(track, {}, {})
    if pool.numbers_by_entry.get(entry_id, 0) >= batch.number:
        return pool
    return Pool(
        track,
        _add_steps(pool.sums_by_step, batch.sums_by_step),
        {**pool.numbers_by_entry, entry_id: batch.number},
    )


def evaluate(
    sums_by_step: Mapping[int, betting.Sums],
    rollout: documents.Rollout,
    rated: bool = True,
) -> Verdict:
    """Decides what pooled evidence says of the candidate.

    Args:
      sums_by_step: The evidence by step.
      rollout: The roll-out.
      rated: Whether answers of the model are rated; where they are, none
        passes without ratings.
    Returns: 'bad' when the candidate is worse than its baseline, 'good'
      when it is shown harmless enough for its next share.
    """
    steps = sorted(sums_by_step)
    if not steps:
        return 'undecided'
    since: list[betting.Sums] = []
    total = betting.Sums()
    for step in reversed(steps):
        total = betting.add(total, sums_by_step[step])
        since.append(total)
    since.reverse()
    weights = [FIRST_STEP_WEIGHT] + [
        (1 - FIRST_STEP_WEIGHT) / (place * (place + 1))
        for place in range(1, len(steps))
    ]
    bad_at = math.log(len(betting.INFERIORITY_ROWS) / FALSE_ALARM_ALPHA)
    suspected = False
    for row in betting.INFERIORITY_ROWS:
        logs = [betting.log_mean_wealth(sums, row) for sums in since]
        wealth = betting.log_mean_exp(logs, weights)
        if wealth >= bad_at:
            return 'bad'
        suspected = suspected or wealth >= SUSPICION_LOG_WEALTH
    if suspected:
        return 'undecided'
    here = sums_by_step.get(rollout['fencing'], betting.Sums())
    if here.candidate_requests < MIN_STEP_REQUESTS:
        return 'undecided'
    first_rows = [betting.FAILURE_NONINFERIORITY_ROW]
    if rated:
        first_rows.append(betting.SCORE_NONINFERIORITY_ROW)
    allowed = (
        MAX_SCORE_LOSS_PER_REQUEST * ALL_BASIS_POINTS / next_share(rollout)
    )
    harmless = all(_harmless(since[0], allowed, row) for row in first_rows)
    if harmless and rollout['next_step'] >= len(rollout['plan']):
        harmless = all(
            _harmless(here, LAST_STEP_MARGIN, row) for row in first_rows
        )
    return 'good' if harmless else 'undecided'


def _harmless(sums: betting.Sums, allowed: float, first_row: int) -> bool:
    """Tells whether a candidate is shown to be worse by no more."""
    allowed = max(allowed, betting.NONINFERIORITY_MARGINS[-1])
    good_at = math.log(1 / FALSE_PASS_ALPHA)
    rows = enumerate(betting.NONINFERIORITY_MARGINS, start=first_row)
    return any(
        betting.log_mean_wealth(sums, row) >= good_at
        for row, difference in rows
        if difference <= allowed
    )


class _Track:
    """Evidence of this entry on one roll-out."""

    def __init__(self, rollout: documents.Rollout) -> None:
        self.name = track_name(rollout)
        self.candidate = rollout['candidate']
        self.baseline = rollout['baseline']
        self.step = rollout['fencing']
        self.bets = betting.WealthProcesses()
        self.pool = Pool(self.name, {}, {})
        self.pending: Batch | None = None
        self.number = 0
        self.history = version_regression.RegressionDetector()
        self._finished: dict[int, betting.Sums] = {}

    def enter(self, step: int) -> None:
        """Books what was seen so far under the step that ends."""
        if step != self.step:
            self._finished = self.fresh()
            self.bets.pop_sums()
            self.bets.reset_shares()
            self.step = step

    def fresh(self) -> dict[int, betting.Sums]:
        """Gives what no batch holds yet."""
        seen = self.bets.current_sums()
        if seen == betting.Sums():
            return dict(self._finished)
        return _add_steps(self._finished, {self.step: seen})

    def take_fresh(self) -> dict[int, betting.Sums]:
        fresh = self.fresh()
        self.bets.pop_sums()
        self._finished = {}
        return fresh


class VersionEvidence:
    """Evidence of this entry on each followed roll-out, and the pool's."""

    def __init__(self, entry_id: str = '') -> None:
        self._entry_id = entry_id
        self._tracks_by_model: dict[str, _Track] = {}

    def follow(self, rollout: documents.Rollout) -> None:
        """Collects evidence on a roll-out, by its current step.

        Evidence on other versions of the model is dropped.

        Args:
          rollout: The roll-out as configured now.
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
          score: Rating in 0..1; None where it is missing.
          failed: Whether the version failed to answer.
          now_ms: Unix ms.
        """
        track = self._tracks_by_model.get(model)
        if track is None or version not in (track.candidate, track.baseline):
            return
        track.bets.observe(version == track.candidate, score, failed)

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
        track.bets.rate(version == track.candidate, score)

    def verdict(
        self, rollout: documents.Rollout, rated: bool = True
    ) -> Verdict:
        """Decides on the candidate from what all entries saw.

        Args:
          rollout: The roll-out as configured now.
          rated: False for a plain service, whose answers are not rated.
        Returns: 'bad', 'good' for the next step, 'undecided', or for a
          done roll-out 'suspect' when the candidate became worse than it
          was.
        """
        pooled = self.pooled_sums(rollout)
        verdict = evaluate(pooled, rollout, rated)
        if rollout['state'] != 'done' or verdict == 'bad':
            return verdict
        total = betting.Sums()
        for sums in pooled.values():
            total = betting.add(total, sums)
        suspected = self._track(rollout).history.detects_regression(total)
        return 'suspect' if suspected else 'undecided'

    def pooled_sums(
        self, rollout: documents.Rollout
    ) -> dict[int, betting.Sums]:
        """Adds up the pool and what it does not hold yet, by step."""
        track = self._track(rollout)
        total = _add_steps(track.pool.sums_by_step, track.fresh())
        if track.pending is not None:
            total = _add_steps(total, track.pending.sums_by_step)
        return total

    def next_batch(self, rollout: documents.Rollout) -> Batch | None:
        """Gives the batch to absorb into the pool.

        The same batch comes again until merge() has seen it counted, so
        that a write whose answer was lost can be repeated.

        Args:
          rollout: The roll-out as configured now.
        Returns: The batch; None when there is nothing to add.
        """
        track = self._track(rollout)
        if track.pending is None:
            fresh = track.take_fresh()
            if not fresh:
                return None
            track.number += 1
            track.pending = Batch(track.number, fresh)
        return track.pending

    def apply_pool(self, rollout: documents.Rollout, pool: Pool) -> None:
        """Takes the pool's value as read or written.

        Args:
          rollout: The roll-out as configured now.
          pool: The value; one of another track is ignored.
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
        track.enter(rollout['fencing'])
        return track


def track_name(rollout: documents.Rollout) -> str:
    """Names the versions that a roll-out compares, and the sums' layout."""
    versions = f'{rollout["candidate"]}:{rollout["baseline"]}'
    return f'{versions}:{betting.SIZE}'


def next_share(rollout: documents.Rollout) -> int:
    """Gives the share the candidate gets next, in basis points."""
    plan: Sequence[int] = rollout['plan']
    if rollout['next_step'] < len(plan):
        return max(plan[rollout['next_step']], 1)
    return ALL_BASIS_POINTS


def _add_steps(
    left: Mapping[int, betting.Sums], right: Mapping[int, betting.Sums]
) -> dict[int, betting.Sums]:
    total = dict(left)
    for step, sums in right.items():
        total[step] = betting.add(total.get(step, betting.Sums()), sums)
    return total
