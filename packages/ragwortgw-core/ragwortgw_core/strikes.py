"""Finds the request that crashes backend servers among its neighbours."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import notices
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import strikes_page

OWNER = 'strikes'
STRIKES_KEY = 'strikes'
#: How long a crash counts, and how long a guilty request is refused.
CRASH_TTL_MS = 600_000
MAX_CRASHES = 256
MAX_BROKEN_ATTEMPTS = 1_024
#: Crashes after which a request is refused whoever else was there.
MAX_STRIKES = 3
READ_INTERVAL_MS = 30_000
CALL_TIMEOUT_MS = 2_000


class ReadTag(NamedTuple):
    """Marks the read of the shared value."""


class BrokenAttempt(NamedTuple):
    """What an attempt broken by a crash leads to.

    Args:
      crash_id: Names the crash; the same for all attempts that it broke.
      outputs: Notices and effects; none after the first attempt.
    """

    crash_id: str
    outputs: list[Any]


class Crash(NamedTuple):
    """One crash of a backend server and what was seen running.

    members is the number of fingerprints that ran, 0 when not known.
    """

    crash_id: str
    at_ms: int
    fingerprints: frozenset[str]
    members: int

    def lone(self) -> bool:
        """Tells whether one request alone is known to have run."""
        return self.members == 1


class StrikeTracker:
    """Counts, for each request body, the crashes that it was part of.

    One crash makes all that ran suspects, and a suspect runs alone the
    next time. A request is refused when it was part of two crashes and
    either one of them hit it alone or it is the only one that was in
    both; or when it was part of three. So it crashes two backend
    servers, and one more for each run that began before the notice of
    an earlier crash had arrived. A suspect that ends its run alone well
    is cleared.

    Args:
      calls: Makes the platform calls; None in an agent.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls | None = None
    ) -> None:
        self._calls = calls
        self._crashes_by_id: dict[str, Crash] = {}
        self._cleared_at_ms: dict[str, int] = {}
        self._running_by_backend: dict[str, dict[str, str]] = {}
        self._crash_ids_by_attempt: dict[str, str] = {}
        self._read_at_ms = 0
        self._pages: group_commit.GroupCommitter | None = None
        if calls is not None:
            codec = strikes_page.Codec()
            self._pages = group_commit.GroupCommitter(calls, OWNER, codec)
            calls.register(OWNER, self)

    def attempt_started(
        self, backend: str, attempt_id: str, fingerprint: str
    ) -> None:
        """Notes that an attempt runs on a backend server."""
        running = self._running_by_backend.setdefault(backend, {})
        running[attempt_id] = fingerprint

    def attempt_ended(
        self,
        backend: str,
        attempt_id: str,
        stamp: events.Stamp | None = None,
        cleared: bool = False,
    ) -> None:
        """Notes that an attempt no longer runs.

        Args:
          backend: The backend server.
          attempt_id: The attempt.
          stamp: Time and randomness; needed when cleared is set.
          cleared: Whether it ran alone and ended well.
        """
        running = self._running_by_backend.get(backend, {})
        fingerprint = running.pop(attempt_id, None)
        if not running:
            self._running_by_backend.pop(backend, None)
        if cleared and fingerprint and stamp:
            if self.strike_count(fingerprint, stamp):
                self._cleared_at_ms[fingerprint] = stamp.now_ms

    def running_fingerprints(self, backend: str) -> frozenset[str]:
        """Returns the fingerprints that run on a backend server."""
        running = self._running_by_backend.get(backend, {})
        return frozenset(running.values())

    def attempt_broke(
        self, stamp: events.Stamp, backend: str, attempt_id: str
    ) -> BrokenAttempt:
        """Notes, in an agent, that a crash broke an attempt.

        The first attempt that breaks names the crash and strikes all
        that ran; the others belong to it, also when they are heard of
        after the backend server runs again.

        Args:
          stamp: Time and randomness.
          backend: The backend server.
          attempt_id: The attempt.
        Returns: The crash and what to do about it.
        """
        running = self._running_by_backend.get(backend, {})
        if attempt_id not in running:
            known = self._crash_ids_by_attempt.get(attempt_id, attempt_id)
            return BrokenAttempt(known, [])
        crash_id = f'{backend}/{stamp.now_ms}/{attempt_id}'
        for broken_id in running:
            self._crash_ids_by_attempt[broken_id] = crash_id
        while len(self._crash_ids_by_attempt) > MAX_BROKEN_ATTEMPTS:
            oldest = next(iter(self._crash_ids_by_attempt))
            del self._crash_ids_by_attempt[oldest]
        return BrokenAttempt(crash_id, self.crashed(stamp, backend, crash_id))

    def crashed(
        self,
        stamp: events.Stamp,
        backend: str,
        crash_id: str,
        complete: bool = True,
        fingerprints: Iterable[str] | None = None,
    ) -> list[Any]:
        """Gives a strike to all that ran on a crashed backend server.

        Args:
          stamp: Time and randomness.
          backend: The backend server.
          crash_id: Names the crash, the same for all that saw it.
          complete: Whether this process knows all that ran there; an
            agent does, an entry does not.
          fingerprints: What ran, if started and ended were not called.
        Returns: StrikeGiven notices to be spread, and effects.
        """
        ran = frozenset(
            self.running_fingerprints(backend)
            if fingerprints is None
            else fingerprints
        )
        self._running_by_backend.pop(backend, None)
        if not ran:
            return []
        members = len(ran) if complete else 0
        crash = Crash(crash_id, stamp.now_ms, ran, members)
        self._add(stamp, crash)
        out: list[Any] = [
            notices.StrikeAdded(fingerprint, crash_id, members)
            for fingerprint in sorted(ran)
        ]
        out.append(effects.Count('backend_crashes', (('backend', backend),)))
        return out + self._share(stamp, crash)

    def record_report(
        self, stamp: events.Stamp, notice: notices.StrikeAdded
    ) -> list[Any]:
        """Takes a strike that another process gave; spreads nothing."""
        fingerprints = frozenset((notice.fingerprint,))
        crash = Crash(
            notice.crash_id, stamp.now_ms, fingerprints, notice.members
        )
        self._add(stamp, crash)
        return []

    def strike_count(self, fingerprint: str, stamp: events.Stamp) -> int:
        """Returns the number of crashes held against a fingerprint."""
        return len(self._crashes_of(fingerprint, stamp))

    def check(
        self, stamp: events.Stamp, fingerprint: str
    ) -> errors.RequestSuspected | None:
        """Refuses a fingerprint that crashed backend servers before.

        Args:
          stamp: Time and randomness.
          fingerprint: Hash of organisation and body.
        Returns: The refusal, or None.
        """
        crashes = self._crashes_of(fingerprint, stamp)
        if not self._guilty(fingerprint, crashes, stamp):
            return None
        last_ms = max(crash.at_ms for crash in crashes)
        left_ms = max(last_ms + CRASH_TTL_MS - stamp.now_ms, 1)
        return errors.RequestSuspected(fingerprint, left_ms)

    def must_run_alone(self, fingerprint: str, stamp: events.Stamp) -> bool:
        """Tells whether a fingerprint must run with no neighbours."""
        return bool(self._crashes_of(fingerprint, stamp))

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Forgets old crashes and reads the shared value now and then."""
        self._expire(stamp)
        if self._calls is None or self._pages is None:
            return []
        out = _without_outcomes(self._pages.on_tick(stamp))
        if stamp.now_ms < self._read_at_ms:
            return out
        jitter_ms = stamp.seed % READ_INTERVAL_MS
        self._read_at_ms = stamp.now_ms + READ_INTERVAL_MS // 2 + jitter_ms
        return out + self._calls.call(
            stamp,
            OWNER,
            ReadTag(),
            platform.Get(STRIKES_KEY),
            stamp.now_ms + CALL_TIMEOUT_MS,
        )

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the answer to a call on the shared value."""
        assert self._pages is not None
        if isinstance(result, platform.Found | platform.Conflict):
            self._merge(stamp, result.value)
        if isinstance(tag, ReadTag):
            return []
        items = self._pages.on_result(stamp, tag, call, result)
        return _without_outcomes(items)

    def _merge(self, stamp: events.Stamp, value: bytes) -> None:
        content = strikes_page.Codec().decode(value)
        if content is None:
            return
        for crash_id, line in content['crashes_by_id'].items():
            at_ms = min(line['at_ms'], stamp.now_ms)
            if stamp.now_ms - at_ms >= CRASH_TTL_MS:
                continue
            fingerprints = frozenset(line['fingerprints'])
            self._add(
                stamp, Crash(crash_id, at_ms, fingerprints, line['members'])
            )

    def _share(self, stamp: events.Stamp, crash: Crash) -> list[Any]:
        if self._pages is None:
            return []
        operation = strikes_page.AddCrash(
            crash.crash_id, crash.at_ms, crash.fingerprints, crash.members
        )
        items = self._pages.submit(stamp, STRIKES_KEY, operation, stamp.now_ms)
        return _without_outcomes(items)

    def _add(self, stamp: events.Stamp, crash: Crash) -> None:
        held = self._crashes_by_id.pop(crash.crash_id, None)
        if held is not None:
            crash = held._replace(
                fingerprints=held.fingerprints | crash.fingerprints,
                members=max(held.members, crash.members),
            )
        self._crashes_by_id[crash.crash_id] = crash
        while len(self._crashes_by_id) > MAX_CRASHES:
            del self._crashes_by_id[next(iter(self._crashes_by_id))]

    def _expire(self, stamp: events.Stamp) -> None:
        limit_ms = stamp.now_ms - CRASH_TTL_MS
        for crash_id, crash in list(self._crashes_by_id.items()):
            if crash.at_ms <= limit_ms:
                del self._crashes_by_id[crash_id]
        for fingerprint, at_ms in list(self._cleared_at_ms.items()):
            if at_ms <= limit_ms:
                del self._cleared_at_ms[fingerprint]

    def _crashes_of(
        self, fingerprint: str, stamp: events.Stamp
    ) -> list[Crash]:
        since_ms = max(
            self._cleared_at_ms.get(fingerprint, 0),
            stamp.now_ms - CRASH_TTL_MS,
        )
        return [
            crash
            for crash in self._crashes_by_id.values()
            if fingerprint in crash.fingerprints and crash.at_ms > since_ms
        ]

    def _guilty(
        self, fingerprint: str, crashes: list[Crash], stamp: events.Stamp
    ) -> bool:
        if len(crashes) < 2:
            return False
        if len(crashes) >= MAX_STRIKES:
            return True
        if any(crash.lone() for crash in crashes):
            return True
        if any(crash.members > len(crash.fingerprints) for crash in crashes):
            return False
        common = crashes[0].fingerprints & crashes[1].fingerprints
        return common == frozenset((fingerprint,))


def new_strike_tracker(
    calls: platform_calls.PlatformCalls | None = None,
) -> StrikeTracker:
    """Builds an empty strike book.

    Args:
      calls: Makes the platform calls; None in an agent.
    Returns: The strike book.
    """
    return StrikeTracker(calls)


def _without_outcomes(items: list[Any]) -> list[Any]:
    return [
        item for item in items if not isinstance(item, group_commit.Completed)
    ]
