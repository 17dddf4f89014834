"""Pins sessions to versions and moves roll-outs from step to step."""

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
#: While a roll-out runs, the baseline keeps some requests to compare with.
MAX_RUNNING_SHARE = 9_000
#: What a candidate keeps that became worse after its roll-out was done.
SUSPECTED_SHARE = 5_000
MAX_FIRST_EXPOSED_REQUESTS = 200
EFFECTIVE_DELAY_MS = 5_000
STEP_HISTORY_MS = 30 * 24 * 3_600_000


class PinnedVersion(NamedTuple):
    """The version of a session; moved when it is not the one it had."""

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

    The start of the session selects the step, its hash the version in
    the step. Nothing else goes in, so each entry selects the same one at
    any time, until the version is withdrawn.

    Args:
      rollout: Step history of the model; None where it has none.
      versions: Versions of the model that may serve the request; one
        that is missing or withdrawn is not selected.
      session: UUIDv7, or token verified by read_session(); '' selects
        the step in force and a version by the stamp's seed.
      stamp: Time and randomness.
      permitted: Ids of versions that the organisation may use, withdrawn
        or not; where given, moved does not count the others.
    Returns: The version, or None when none may serve.
    """
    usable = [each['id'] for each in versions if each['state'] == 'ready']
    if not usable:
        return None
    read = (
        sessions.parse_session(session)
        if session
        else sessions.Session(str(stamp.seed), None)
    )
    began_at_ms = _start_ms(read, stamp)
    if rollout is None:
        return _oldest(usable, versions)
    shares = _shares_at(rollout, began_at_ms)
    if permitted is not None:
        shares = _only(shares, permitted) or shares
    wanted = _select(shares, rollout, read.key)
    if wanted in usable:
        return PinnedVersion(wanted, moved=False)
    left = _shares_left(rollout, began_at_ms, shares, usable)
    return PinnedVersion(_select(left, rollout, read.key), moved=True)


def advance(
    rollout: documents.Rollout,
    verdict: evidence.Verdict,
    versions_by_id: Mapping[str, documents.Version],
    stamp: events.Stamp,
    max_first_share: int = ALL_BASIS_POINTS,
) -> documents.Rollout | None:
    """Takes the next step of a roll-out, or withdraws its candidate.

    A paused or done roll-out takes no step, but a bad candidate is still
    withdrawn. A done one whose candidate is suspected runs again, with
    some requests on the baseline to compare with.

    Args:
      rollout: The roll-out as it stands.
      verdict: What the evidence says of the candidate.
      versions_by_id: Versions of the configuration.
      stamp: Time and randomness.
      most_first_share: Share that the candidate gets at most before there
        is any evidence, as by first_share(); its first planned step
        follows once that is good.
    Returns: The roll-out to write in place of this one, or None when
      there is nothing to do now. With state 'withdrawn' the document of
      withdrawn_version() is to be written in the same order.
    """
    if rollout['state'] not in ('running', 'paused', 'done'):
        return None
    candidate = versions_by_id.get(rollout['candidate'])
    gone = candidate is None or candidate['state'] == 'withdrawn'
    if gone or verdict == 'bad':
        shares = {rollout['baseline']: ALL_BASIS_POINTS}
        return _with_step(rollout, shares, 'withdrawn', stamp)
    if rollout['state'] == 'done' and verdict == 'suspect':
        shares = _shares(rollout, [SUSPECTED_SHARE])
        return _with_step(rollout, shares, 'running', stamp)
    if rollout['state'] != 'running':
        return None
    started = _serves(rollout)
    if started and verdict != 'good':
        return None
    if rollout['steps'] and _latest_ms(rollout) > stamp.now_ms:
        return None
    if rollout['next_step'] >= len(rollout['plan']):
        shares = _shares(rollout, rollout['plan'][-1:] or [ALL_BASIS_POINTS])
        return _with_step(rollout, shares, 'done', stamp)
    planned = rollout['plan'][rollout['next_step']]
    bounds = [planned, MAX_RUNNING_SHARE]
    if not started:
        bounds.append(max_first_share)
    taken = _with_step(rollout, _shares(rollout, bounds), 'running', stamp)
    if started or planned <= max_first_share:
        taken['next_step'] += 1
    return taken


def first_share_limit(requests_per_s: float, decision_ms: int) -> int:
    """Bounds the requests that a candidate serves before any evidence.

    Args:
      requests_per_s: Requests for the model, over all entries.
      decision_ms: Time from an answer until a withdrawal that follows
        from it is in force everywhere.
    Returns: The share in basis points, at least 1.
    """
    requests = max(requests_per_s * decision_ms / 1_000, 1e-9)
    share = MAX_FIRST_EXPOSED_REQUESTS * ALL_BASIS_POINTS / requests
    return min(max(int(share), 1), ALL_BASIS_POINTS)


def _serves(rollout: documents.Rollout) -> bool:
    """Tells whether the candidate has a share by the last step."""
    if not rollout['steps']:
        return False
    last = max(rollout['steps'], key=lambda step: step['effective_at_ms'])
    return last['shares'].get(rollout['candidate'], 0) > 0


def withdrawn_version(
    rollout: documents.Rollout,
    versions_by_id: Mapping[str, documents.Version],
    reason: str,
) -> documents.Version | None:
    """Gives the candidate's document once it is withdrawn.

    Args:
      rollout: A roll-out that advance() returned.
      versions_by_id: Versions of the configuration.
      reason: Why, for the operators.
    Returns: The document to write, or None when there is none to write.
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
    """Gives the start; an unknown one, or one far ahead, counts as now."""
    began_at_ms = session.began_at_ms
    if (
        began_at_ms is None
        or began_at_ms > stamp.now_ms + sessions.SESSION_SKEW_MS
    ):
        return stamp.now_ms
    return began_at_ms


def _shares_at(rollout: documents.Rollout, at_ms: int) -> dict[str, int]:
    """Finds the shares in force at a time; at first, all to the baseline."""
    in_force = [
        step for step in rollout['steps'] if step['effective_at_ms'] <= at_ms
    ]
    if not in_force:
        return {rollout['baseline']: ALL_BASIS_POINTS}
    return max(in_force, key=lambda step: step['effective_at_ms'])['shares']


def _shares_left(
    rollout: documents.Rollout,
    began_at_ms: int,
    shares: Mapping[str, int],
    usable: Sequence[str],
) -> dict[str, int]:
    """Finds the shares for a session whose version can not serve.

    Those of its own step go first, then of earlier ones, then of later
    ones. Since history only grows at its end, later steps change nothing
    for a session that has moved.
    """
    steps = sorted(rollout['steps'], key=lambda step: step['effective_at_ms'])
    earlier = [
        step for step in steps if step['effective_at_ms'] <= began_at_ms
    ]
    later = steps[len(earlier) :]
    for other in [shares, *(step['shares'] for step in earlier[::-1] + later)]:
        left = _only(other, usable)
        if left:
            return left
    return {min(usable, key=_natural_order): ALL_BASIS_POINTS}


def _only(
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
    """Picks a version by hash; depends on no other field of the document."""
    total = sum(shares.values())
    hashed = sessions.encode_text(f'{rollout["id"]}\0{key}')
    point = xxhash.xxh64_intdigest(hashed) % total
    ordered = sorted(shares, key=_natural_order)
    for version in ordered:
        point -= shares[version]
        if point < 0:
            return version
    return ordered[-1]


def _oldest(
    usable: list[str], versions: Sequence[documents.Version]
) -> PinnedVersion:
    """Takes the oldest version, where a model has no roll-out."""
    wanted = min((each['id'] for each in versions), key=_natural_order)
    if wanted in usable:
        return PinnedVersion(wanted, moved=False)
    return PinnedVersion(min(usable, key=_natural_order), moved=True)


def _natural_order(version: str) -> list[tuple[int, str]]:
    """Orders 'v2' before 'v10'."""
    return [
        (int(part), '') if part.isdigit() else (0, part)
        for part in re.split(r'(\d+)', version)
    ]


def _latest_ms(rollout: documents.Rollout) -> int:
    return max(step['effective_at_ms'] for step in rollout['steps'])


def _shares(
    rollout: documents.Rollout, bounds: Sequence[int]
) -> dict[str, int]:
    """Gives the candidate the lowest of the bounds, the rest to the other."""
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
    before = rollout['steps'] or [
        documents.Step(
            effective_at_ms=0,
            shares={rollout['baseline']: ALL_BASIS_POINTS},
        )
    ]
    changed = rollout.copy()
    changed['steps'] = [*_recent(before, stamp.now_ms), step]
    changed['state'] = state
    changed['fencing'] = rollout['fencing'] + 1
    return changed


def _recent(
    steps: Sequence[documents.Step], now_ms: int
) -> list[documents.Step]:
    """Drops steps that no live session can have begun under."""
    ordered = sorted(steps, key=lambda step: step['effective_at_ms'])
    horizon_ms = now_ms - STEP_HISTORY_MS
    superseded = [
        step for step in ordered if step['effective_at_ms'] <= horizon_ms
    ]
    return ordered[max(len(superseded) - 1, 0) :]
