"""Pins sessions to versions and advances roll-outs.

A step gives each version a share of the sessions that start while it is in
force. The version of a session depends only on its start time and a hash of
its id, so that all entries select the same one without shared state.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import re
from typing import Literal, NamedTuple

import xxhash

from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import sessions

ALL_BASIS_POINTS = 10_000
#: While a roll-out runs, the baseline keeps the rest for the comparison.
MAX_RUNNING_SHARE = 9_000
#: Share of a candidate that became worse after its roll-out was done.
SUSPECTED_SHARE = 5_000
#: Requests that a candidate may serve before there is any evidence.
MAX_FIRST_EXPOSED_REQUESTS = 200
#: A step takes effect this long after it is written, so that all entries
#: know it by then.
EFFECTIVE_DELAY_MS = 5_000
#: Steps superseded for longer than this are dropped.
STEP_HISTORY_MS = 30 * 24 * 3_600_000


class PinnedVersion(NamedTuple):
    """The version of a session; moved if it is not the version it had."""

    version: str
    moved: bool


def pin(
    rollout: documents.Rollout | None,
    versions: Sequence[documents.Version],
    session: str,
    stamp: events.Stamp,
    permitted: frozenset[str] | None = None,
) -> PinnedVersion | None:
    """Selects the version that serves a session.

    The start time of the session selects the step, its hash the version
    within the step. Nothing else is used, so all entries select the same
    version at any time, until that version is withdrawn.

    Args:
      rollout: Step history of the model; None if it has none.
      versions: Versions of the model that may serve the request; missing
        and withdrawn versions are not selected.
      session: UUIDv7, or token verified by read_session(). With '' the
        step in force is used and the stamp's seed selects the version.
      stamp: Time and randomness.
      permitted: Ids of versions that the organisation may use, withdrawn
        or not. If given, a session that skips other versions does not
        count as moved. None permits all.
    Returns: The version, or None if no version may serve.
    """
    usable = [
        version['id'] for version in versions if version['state'] == 'ready'
    ]
    if not usable:
        return None
    parsed = (
        sessions.parse_session(session)
        if session
        else sessions.Session(str(stamp.seed), None)
    )
    began_at_ms = _start_ms(parsed, stamp)
    if rollout is None:
        return _pin_oldest(usable, versions)
    shares = _shares_at(rollout, began_at_ms)
    if permitted is not None:
        shares = _filter_shares(shares, permitted) or shares
    selected = _select(shares, rollout, parsed.key)
    if selected in usable:
        return PinnedVersion(selected, moved=False)
    remaining = _fallback_shares(rollout, began_at_ms, shares, usable)
    return PinnedVersion(_select(remaining, rollout, parsed.key), moved=True)


def advance(
    rollout: documents.Rollout,
    verdict: evidence.Verdict,
    versions_by_id: Mapping[str, documents.Version],
    stamp: events.Stamp,
    max_first_share: int = ALL_BASIS_POINTS,
) -> documents.Rollout | None:
    """Takes the next step of a roll-out, or withdraws its candidate.

    A paused or done roll-out takes no step, but its candidate is still
    withdrawn on a bad verdict. A done roll-out with a suspect candidate
    runs again: some requests return to the baseline for a comparison.

    Args:
      rollout: The current roll-out.
      verdict: Result of the sequential test on the candidate.
      versions_by_id: Versions in the configuration.
      stamp: Time and randomness.
      max_first_share: Upper bound of the candidate's share before there
        is any evidence, in basis points, from first_share_limit(). The first
        planned step follows after a good verdict.
    Returns: The roll-out to write in place of this one, or None if there
      is nothing to do now. With state 'withdrawn', the document returned
      by withdrawn_version() must be written in the same order.
    """
    if rollout['state'] not in ('running', 'paused', 'done'):
        return None
    candidate = versions_by_id.get(rollout['candidate'])
    withdrawn = candidate is None or candidate['state'] == 'withdrawn'
    if withdrawn or verdict == 'bad':
        shares = {rollout['baseline']: ALL_BASIS_POINTS}
        return _with_step(rollout, shares, 'withdrawn', stamp)
    if rollout['state'] == 'done' and verdict == 'suspect':
        shares = _shares(rollout, [SUSPECTED_SHARE])
        return _with_step(rollout, shares, 'running', stamp)
    if rollout['state'] != 'running':
        return None
    has_traffic = _has_traffic(rollout)
    if has_traffic and verdict != 'good':
        return None
    if rollout['steps'] and _last_effective_ms(rollout) > stamp.now_ms:
        return None
    if rollout['next_step'] >= len(rollout['plan']):
        shares = _shares(rollout, rollout['plan'][-1:] or [ALL_BASIS_POINTS])
        return _with_step(rollout, shares, 'done', stamp)
    planned = rollout['plan'][rollout['next_step']]
    bounds = [planned, MAX_RUNNING_SHARE]
    if not has_traffic:
        bounds.append(max_first_share)
    advanced = _with_step(rollout, _shares(rollout, bounds), 'running', stamp)
    if has_traffic or planned <= max_first_share:
        advanced['next_step'] += 1
    return advanced


def first_share_limit(requests_per_s: float, decision_ms: int) -> int:
    """Computes the share of a candidate that has no evidence yet.

    With this share the candidate serves at most
    MAX_FIRST_EXPOSED_REQUESTS until it can be withdrawn.

    Args:
      requests_per_s: Requests for the model, over all entries.
      decision_ms: Time from a response until a withdrawal caused by it
        takes effect on all entries.
    Returns: The share in basis points, at least 1.
    """
    requests = max(requests_per_s * decision_ms / 1_000, 1e-9)
    share = MAX_FIRST_EXPOSED_REQUESTS * ALL_BASIS_POINTS / requests
    return min(max(int(share), 1), ALL_BASIS_POINTS)


def _has_traffic(rollout: documents.Rollout) -> bool:
    """Returns whether the last step gives the candidate any traffic."""
    if not rollout['steps']:
        return False
    last = max(rollout['steps'], key=lambda step: step['effective_at_ms'])
    return last['shares'].get(rollout['candidate'], 0) > 0


def withdrawn_version(
    rollout: documents.Rollout,
    versions_by_id: Mapping[str, documents.Version],
    reason: str,
) -> documents.Version | None:
    """Builds the candidate's version document after a withdrawal.

    Args:
      rollout: A roll-out returned by advance().
      versions_by_id: Versions in the configuration.
      reason: Reason of the withdrawal, shown to operators.
    Returns: The document to write, or None if the candidate was not
      withdrawn, is unknown, or is withdrawn already.
    """
    version = versions_by_id.get(rollout['candidate'])
    if rollout['state'] != 'withdrawn' or version is None:
        return None
    if version['state'] == 'withdrawn':
        return None
    withdrawn = version.copy()
    withdrawn['state'] = 'withdrawn'
    withdrawn['reason'] = reason
    return withdrawn


def _start_ms(session: sessions.Session, stamp: events.Stamp) -> int:
    """Returns the start of a session; now if unknown or in the future.

    A start within the tolerated clock skew is not in the future.
    """
    began_at_ms = session.began_at_ms
    if (
        began_at_ms is None
        or began_at_ms > stamp.now_ms + sessions.SESSION_SKEW_MS
    ):
        return stamp.now_ms
    return began_at_ms


def _shares_at(rollout: documents.Rollout, at_ms: int) -> dict[str, int]:
    """Returns the shares in force at a time; initially all baseline."""
    in_force = [
        step for step in rollout['steps'] if step['effective_at_ms'] <= at_ms
    ]
    if not in_force:
        return {rollout['baseline']: ALL_BASIS_POINTS}
    return max(in_force, key=lambda step: step['effective_at_ms'])['shares']


def _fallback_shares(
    rollout: documents.Rollout,
    began_at_ms: int,
    shares: Mapping[str, int],
    usable: Sequence[str],
) -> dict[str, int]:
    """Returns shares for a session whose version can't serve.

    Tries the session's own step, then earlier steps, then later ones, and
    returns the first that has a usable version. Steps are only appended,
    so a later step does not move the session a second time.
    """
    steps = sorted(rollout['steps'], key=lambda step: step['effective_at_ms'])
    earlier = [
        step for step in steps if step['effective_at_ms'] <= began_at_ms
    ]
    later = steps[len(earlier) :]
    for candidates in [
        shares,
        *(step['shares'] for step in earlier[::-1] + later),
    ]:
        filtered = _filter_shares(candidates, usable)
        if filtered:
            return filtered
    return {min(usable, key=_natural_order): ALL_BASIS_POINTS}


def _filter_shares(
    shares: Mapping[str, int], usable: Sequence[str] | frozenset[str]
) -> dict[str, int]:
    return {
        version: share
        for version, share in shares.items()
        if share > 0 and version in usable
    }


def _select(
    shares: Mapping[str, int], rollout: documents.Rollout, key: str
) -> str:
    """Selects a version by hash of the model id and the session key.

    Other fields of the roll-out must not affect the selection.
    """
    total = sum(shares.values())
    hashed = sessions.encode_text(f'{rollout["id"]}\0{key}')
    point = xxhash.xxh64_intdigest(hashed) % total
    ordered = sorted(shares, key=_natural_order)
    for version in ordered:
        point -= shares[version]
        if point < 0:
            return version
    return ordered[-1]


def _pin_oldest(
    usable: list[str], versions: Sequence[documents.Version]
) -> PinnedVersion:
    """Selects the oldest version; used for models without a roll-out."""
    oldest = min((version['id'] for version in versions), key=_natural_order)
    if oldest in usable:
        return PinnedVersion(oldest, moved=False)
    return PinnedVersion(min(usable, key=_natural_order), moved=True)


def _natural_order(version: str) -> list[tuple[int, str]]:
    """Sort key that orders 'v2' before 'v10'."""
    return [
        (int(part), '') if part.isdigit() else (0, part)
        for part in re.split(r'(\d+)', version)
    ]


def _last_effective_ms(rollout: documents.Rollout) -> int:
    return max(step['effective_at_ms'] for step in rollout['steps'])


def _shares(
    rollout: documents.Rollout, bounds: Sequence[int]
) -> dict[str, int]:
    """Gives the candidate the lowest bound and the baseline the rest."""
    share = max(min(*bounds, ALL_BASIS_POINTS), 0)
    return {
        rollout['candidate']: share,
        rollout['baseline']: ALL_BASIS_POINTS - share,
    }


def _with_step(
    rollout: documents.Rollout,
    shares: dict[str, int],
    state: Literal['running', 'done', 'withdrawn'],
    stamp: events.Stamp,
) -> documents.Rollout:
    effective_at_ms = stamp.now_ms + EFFECTIVE_DELAY_MS
    step = documents.Step(effective_at_ms=effective_at_ms, shares=shares)
    history = rollout['steps'] or [
        documents.Step(
            effective_at_ms=0,
            shares={rollout['baseline']: ALL_BASIS_POINTS},
        )
    ]
    changed = rollout.copy()
    changed['steps'] = [*_prune_steps(history, stamp.now_ms), step]
    changed['state'] = state
    changed['fencing'] = rollout['fencing'] + 1
    return changed


def _prune_steps(
    steps: Sequence[documents.Step], now_ms: int
) -> list[documents.Step]:
    """Drops steps so old that no live session can have started in them."""
    ordered = sorted(steps, key=lambda step: step['effective_at_ms'])
    horizon_ms = now_ms - STEP_HISTORY_MS
    superseded = [
        step for step in ordered if step['effective_at_ms'] <= horizon_ms
    ]
    return ordered[max(len(superseded) - 1, 0) :]
